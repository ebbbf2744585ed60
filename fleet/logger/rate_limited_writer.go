package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/timekeeper"
)

const queueCapacity = 1024

var droppedLines = metrics.NewCounter("log_lines_dropped_total")

// RateLimitedWriter is an io.Writer that writes log lines in the background. A line that exceeds the rate limit or finds
// the queue full is dropped and counted, so that logging never blocks a request.
type RateLimitedWriter struct {
	lines chan []byte
	// closing is closed by Close, done when all queued lines have been written after that.
	closing chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	now    func() timekeeper.Millis
	rate   float64
	tokens float64
	last   timekeeper.Millis
}

// NewRateLimitedWriter returns a writer that passes at most rate lines per second to w, with bursts of up to rate lines.
func NewRateLimitedWriter(w io.Writer, rate int, now func() timekeeper.Millis) *RateLimitedWriter {
	r := &RateLimitedWriter{
		lines:   make(chan []byte, queueCapacity),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		now:     now,
		rate:    float64(rate),
		tokens:  float64(rate),
		last:    now(),
	}
	go r.drain(w)

	return r
}

func (r *RateLimitedWriter) drain(w io.Writer) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			writeLine(w, line)
		case <-r.closing:
			r.flush(w)

			return
		}
	}
}

// flush writes the lines that are queued.
func (r *RateLimitedWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			writeLine(w, line)
		default:
			return
		}
	}
}

func writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		droppedLines.Inc()
	}
}

// Write queues one line or drops it. It never blocks and never returns an error.
func (r *RateLimitedWriter) Write(line []byte) (int, error) {
	if !r.allow() {
		droppedLines.Inc()

		return len(line), nil
	}
	select {
	case r.lines <- bytes.Clone(line):
	default:
		droppedLines.Inc()
	}

	return len(line), nil
}

func (r *RateLimitedWriter) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.tokens = min(r.rate, r.tokens+r.rate*float64(now-r.last)/float64(timekeeper.Second))
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--

	return true
}

// closeTimeout bounds the wait for a reader of the log that stands still. It fits into what a shutdown leaves of its grace.
const closeTimeout = 50 * timekeeper.Millis(1)

// Close writes the queued lines and stops the writer. Lines that are not written within closeTimeout, or come after Close, are lost. It must
// be called once.
func (r *RateLimitedWriter) Close() {
	close(r.closing)
	select {
	case <-r.done:
	case <-time.After(closeTimeout.Duration()):
	}
}
