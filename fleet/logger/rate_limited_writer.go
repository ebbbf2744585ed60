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
	b := &RateLimitedWriter{
		lines:  make(chan []byte, queueCapacity),
		done:   make(chan struct{}),
		now:    now,
		rate:   float64(rate),
		tokens: float64(rate),
		last:   now(),
	}
	go b.drain(w)

	return b
}

func (b *RateLimitedWriter) drain(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			droppedLines.Inc()
		}
	}
}

// Write queues one line or drops it. It never blocks and never returns an error.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	if !b.allow() {
		droppedLines.Inc()

		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		droppedLines.Inc()
	}

	return len(line), nil
}

func (b *RateLimitedWriter) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.rate, b.tokens+b.rate*float64(now-b.last)/float64(timekeeper.Second))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// Close writes the queued lines and stops the writer. Write must not be called after Close.
func (b *RateLimitedWriter) Close() {
	close(b.lines)
	<-b.done
}
