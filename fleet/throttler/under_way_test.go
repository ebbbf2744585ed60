package throttler

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// Routes of one service may have different target latencies. The end of a request with a short one must not make those with a long one
// stop counting, since they still use their slots; and a silent endpoint must not keep the room of those with a short one for as long as a
// long one lasts.
func TestEachRequestIsOverdueByItsOwnTarget(t *testing.T) {
	const (
		short, long = 100 * timekeeper.Millis(1), 10 * timekeeper.Second
		start       = timekeeper.Minute
	)
	th := NewThrottler()
	arrive := func(target, now timekeeper.Millis) {
		if d := th.Arrive(Request{ArrivedAt: now, TargetLatency: target}, now); d.Action != ActionRun {
			t.Fatalf("a request in calm times: %s", d.Action)
		}
	}
	for range 5 {
		arrive(long, start)
		arrive(short, start)
	}
	th.Finish(OutcomeServed, start, 20, short, start+20)
	if got := th.underWay.count(start + short + 1); got != 5 {
		t.Errorf("%d requests count after the short target, want the 5 with the long one", got)
	}
	th.Finish(OutcomeServed, start, 20, long, start+20)
	if got := th.underWay.count(start + short + 1); got != 4 {
		t.Errorf("%d requests count after one with the long target has ended, want 4", got)
	}
	for range 4 {
		th.Finish(OutcomeUnknown, start, 0, short, start+long)
		th.Finish(OutcomeUnknown, start, 0, long, start+long)
	}
	if th.UnderWay() != 0 {
		t.Errorf("%d requests under way after all have ended", th.UnderWay())
	}
}
