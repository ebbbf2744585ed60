package quarantiner

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func TestGatewayRefusesRequestThatCrashedThreeEndpoints(t *testing.T) {
	const culprit, innocent = model.Fingerprint(1), model.Fingerprint(2)
	c := NewCrashTracker(NewRegistry())
	for n, id := range []model.EndpointID{"a", "b", "c"} {
		now := timekeeper.Millis(n) * timekeeper.Second
		if isQuarantined, _ := c.IsQuarantined(culprit, now); isQuarantined {
			t.Fatalf("refused after %d crashes, want 3", n)
		}
		c.RecordLost(id, culprit, now)
		if n == 0 {
			c.RecordLost(id, innocent, now)
		}
		c.RecordCrash(id, now+100)
		c.RecordCrash(id, now+200)
	}
	if isQuarantined, remaining := c.IsQuarantined(culprit, 3000); !isQuarantined || remaining <= 0 {
		t.Fatalf("refused = %v for %d ms, want a refusal after three crashes", isQuarantined, remaining)
	}
	if isQuarantined, _ := c.IsQuarantined(innocent, 3000); isQuarantined {
		t.Fatal("refused a request that was in flight at one crash only")
	}
	c.Registry.Remove(culprit)
	if isQuarantined, _ := c.IsQuarantined(culprit, 3000); isQuarantined {
		t.Fatal("refused after its crash record was removed")
	}
}

func TestLostRequestsAreNotBlamedForLaterCrashes(t *testing.T) {
	c := NewCrashTracker(NewRegistry())
	c.RecordLost("a", 1, 0)
	c.RecordCrash("a", blameWindow+1)
	if n := c.Registry.Crashes(1, blameWindow+1); n != 0 {
		t.Fatalf("%d crashes counted against a request lost before the blame window, want 0", n)
	}
}

func TestCrashesSeenByDifferentGatewaysAddUp(t *testing.T) {
	const culprit = model.Fingerprint(1)
	trackers := make([]*CrashTracker, GatewayQuarantineThreshold)
	for n := range trackers {
		trackers[n] = NewCrashTracker(NewRegistry())
		id := model.EndpointID(rune('a' + n))
		trackers[n].RecordLost(id, culprit, 0)
		trackers[n].RecordCrash(id, 100)
	}
	for _, from := range trackers {
		for _, r := range from.Registry.RecordsToShare(200) {
			for _, to := range trackers {
				to.Registry.Merge(r, 200)
			}
		}
	}
	for n, tracker := range trackers {
		if isQuarantined, _ := tracker.IsQuarantined(culprit, 300); !isQuarantined {
			t.Errorf("gateway %d counts %d crashes of %d", n, tracker.Registry.Crashes(culprit, 300), len(trackers))
		}
	}
}
