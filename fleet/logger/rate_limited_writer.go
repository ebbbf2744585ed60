package logger

import (
	"bytes"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/timekeeper"
)

const queueCapacity = 1024

var droppedLines = metrics.NewCounter("log_lines_dropped_total")

// RateLimitedWriter is an io.Writer that writes log lines in the background. A line that exceeds the rate limit or finds
// the queue full is dropped and counted, so that logging never blocks a request.
type RateLimitedWriter struct {
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	now    func() timekeeper.Millis
	rate   float64
	tokens float64
	last   timekeeper.Millis
}

// NewRateLimitedWriter returns a writer that passes at most rate lines per second to w, with bursts of up to rate lines.
func NewRateLimitedWriter(w io.Writer, rate int, now func() timekeeper.Millis) *RateLimitedWriter {
	r := &RateLimitedWriter{
		lines:  make(chan []byte, queueCapacity),
		done:   make(chan struct{}),
		now:    now,
		rate:   float64(rate),
		tokens: float64(rate),
		last:   now(),
	}
	go r.drain(w)

	return r
}

func (r *RateLimitedWriter) drain(w io.Writer) {
	defer close(r.done)
	for line := range r.lines {
		if _, err := w.Write(line); err != nil {
			droppedLines.Inc()
		}
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

// Close writes the queued lines and stops the writer. Write must not be called after Close.
func (r *RateLimitedWriter) Close() {
	close(r.lines)
	<-r.done
}
