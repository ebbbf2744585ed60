package spreader

import (
	"math"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestOldReportsCountLess(t *testing.T) {
	for _, c := range []struct {
		age, lifetime timekeeper.Millis
		want          float64
	}{
		{0, 100, 1}, {100, 100, 1 / math.E}, {10_000, 100, 0}, {-50, 100, 1}, {100, 0, 0},
	} {
		if got := KeptShare(c.age, c.lifetime); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("age %d, lifetime %d: %.3f, want %.3f", c.age, c.lifetime, got, c.want)
		}
	}
}

func TestUsualLoadFollowsReportsInSomeRounds(t *testing.T) {
	var u Usual
	if got := u.Record(6, 500, 1000); got != 6 {
		t.Errorf("%.1f after the first report, want 6", got)
	}
	if got := u.Record(0, 500, 1500); got < 4 || got > 5.5 {
		t.Errorf("%.1f after a quarter of the rounds, want little less than 6", got)
	}
	if got := u.Record(0, 500, 20_000); got > 0.01 {
		t.Errorf("%.2f long after the load has gone", got)
	}
}

// The bound leaves room for what is not known, and for nothing else.
func TestBoundLeavesRoomForWhatIsUnknown(t *testing.T) {
	if got := Bound(9, 0, 2); math.Abs(got-9) > 1e-9 {
		t.Errorf("%.2f with everything known, want 9", got)
	}
	for _, unknown := range []float64{0.1, 0.5, 1} {
		got := Bound(9, unknown, 2)
		if most := got + 2*math.Sqrt(unknown*got); math.Abs(most-9) > 1e-9 {
			t.Errorf("unknown share %.1f: a bound of %.2f reaches %.2f with two deviations, want 9", unknown, got, most)
		}
	}
	if got := Bound(-1, 0.5, 2); got != 0 {
		t.Errorf("%.2f without room, want 0", got)
	}
}
