package throttler

import (
	"math"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// A fraction that only rounding has left must not become a time beyond what an integer holds: converted, it would lie in the past on some
// processors and let requests start without end.
func TestTinyFractionLetsNothingStart(t *testing.T) {
	l := limit{isOn: true, value: math.Nextafter(2, 3), pacedAt: timekeeper.Minute}
	l.times.mean = float64(10 * timekeeper.Minute)
	now := 2 * timekeeper.Minute
	if l.hasRoom(2, now) {
		t.Error("a third request may start beside two under a limit of two")
	}
	if at := l.nextStart(2, now); at != 0 {
		t.Errorf("another may start at %d, want never", at)
	}
	if wait := l.untilRoom(2, now); wait <= 0 || wait > 10*timekeeper.Minute {
		t.Errorf("room in %d ms", wait)
	}
}
