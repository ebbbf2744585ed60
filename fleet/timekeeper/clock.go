package timekeeper

import (
	"sync/atomic"
	"time"
)

// Millis is an instant or a span of time in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a span to the type of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock reads the time: Now never jumps, Wall follows the clock of the VM.
type Clock struct {
	Now  func() Millis
	Wall func() Millis
}

// NewSystem returns the clock of this process.
func NewSystem() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())

	return Clock{
		Now:  func() Millis { return base + Millis(time.Since(start).Milliseconds()) },
		Wall: func() Millis { return Millis(time.Now().Round(0).UnixMilli()) },
	}
}

// Manual is a clock that moves only when it is told to.
type Manual struct {
	now  atomic.Int64
	jump atomic.Int64
}

// NewManual returns a manual clock that stands at the given instant.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))

	return m
}

// Clock returns the view of the manual clock that a core reads.
func (m *Manual) Clock() Clock {
	return Clock{
		Now:  func() Millis { return Millis(m.now.Load()) },
		Wall: func() Millis { return Millis(m.now.Load() + m.jump.Load()) },
	}
}

// Advance moves both readings forward by a span.
func (m *Manual) Advance(span Millis) {
	m.now.Add(int64(span))
}

// JumpWall moves only the wall reading by a span, which may be negative.
func (m *Manual) JumpWall(span Millis) {
	m.jump.Add(int64(span))
}
