package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a duration in milliseconds, or an instant in milliseconds since the Unix epoch.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock reads the time. Now is monotonic: it is not affected by adjustments of the VM's clock, and stands still while the VM is
// suspended. Wall returns the VM's current wall-clock time, which can jump in either direction. Suspended returns for how long the VM
// has been suspended since the clock was made.
type Clock struct {
	Now       func() Millis
	Wall      func() Millis
	Suspended func() Millis
}

// NewSystemClock returns a clock that reads the system time. Its monotonic reading starts at the current wall time.
func NewSystemClock() Clock {
	start, bootAtStart := time.Now(), sinceBoot()
	base := Millis(start.UnixMilli())

	return Clock{
		Now:  func() Millis { return base + Millis(time.Since(start).Milliseconds()) },
		Wall: func() Millis { return Millis(time.Now().Round(0).UnixMilli()) },
		Suspended: func() Millis {
			running := time.Since(start)

			return max(Millis((sinceBoot() - bootAtStart - running).Milliseconds()), 0)
		},
	}
}

// sinceBoot returns the time since the VM's boot, suspensions included, or zero if the kernel does not tell it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}

	return time.Duration(t.Nano())
}

// ManualClock is a clock that advances only on request, for tests and simulations.
type ManualClock struct {
	now        atomic.Int64
	wallOffset atomic.Int64
	suspended  atomic.Int64
}

// NewManualClock returns a manual clock set to the given instant.
func NewManualClock(start Millis) *ManualClock {
	m := &ManualClock{}
	m.now.Store(int64(start))

	return m
}

// Clock returns a Clock that reads m.
func (m *ManualClock) Clock() Clock {
	return Clock{
		Now:  func() Millis { return Millis(m.now.Load()) },
		Wall: func() Millis { return Millis(m.now.Load() + m.wallOffset.Load()) },

		Suspended: func() Millis { return Millis(m.suspended.Load()) },
	}
}

// Advance moves the monotonic and the wall reading forward by d.
func (m *ManualClock) Advance(d Millis) {
	m.now.Add(int64(d))
}

// Suspend lets the VM stand still for d, which only the wall reading counts.
func (m *ManualClock) Suspend(d Millis) {
	m.suspended.Add(int64(d))
	m.wallOffset.Add(int64(d))
}

// StepWall changes only the wall reading, by d, which may be negative.
func (m *ManualClock) StepWall(d Millis) {
	m.wallOffset.Add(int64(d))
}
