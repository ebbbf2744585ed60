package spreader

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// Little's law: 10 starts a second that find 2 others running run for 200 ms.
func TestLifetimeFollowsTheTraffic(t *testing.T) {
	var l Lifetime
	if l.Mean() != 0 {
		t.Errorf("%d ms before the first start", l.Mean())
	}
	now := timekeeper.Millis(0)
	for range 600 {
		now += 100
		l.RecordStart(2, now)
	}
	if m := l.Mean(); m < 190 || m > 210 {
		t.Errorf("%d ms, want about 200", m)
	}
	for range 600 {
		now += 100
		l.RecordStart(20, now)
	}
	if m := l.Mean(); m < 1900 || m > 2100 {
		t.Errorf("%d ms, want about 2000", m)
	}
}
