package logger

import (
	"bytes"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/timekeeper"
)

const queuedLines = 1024

var droppedLines = metrics.NewCounter("log_lines_dropped_total")

// Bounded writes log lines in the background and drops lines rather than wait or exceed a rate.
type Bounded struct {
	lines chan []byte
	done  chan struct{}

	mu    sync.Mutex
	now   func() timekeeper.Millis
	rate  float64
	spare float64
	last  timekeeper.Millis
}

// NewBounded returns a writer of at most so many lines a second, with a second's worth of burst.
func NewBounded(w io.Writer, rate int, now func() timekeeper.Millis) *Bounded {
	b := &Bounded{
		lines: make(chan []byte, queuedLines),
		done:  make(chan struct{}),
		now:   now,
		rate:  float64(rate),
		spare: float64(rate),
		last:  now(),
	}
	go b.drain(w)

	return b
}

func (b *Bounded) drain(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			droppedLines.Inc()
		}
	}
}

// Write queues one line; it never waits and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
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

func (b *Bounded) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.spare = min(b.rate, b.spare+b.rate*float64(now-b.last)/float64(timekeeper.Second))
	b.last = now
	if b.spare < 1 {
		return false
	}
	b.spare--

	return true
}

// Close writes what is queued and ends; no Write may follow.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}
