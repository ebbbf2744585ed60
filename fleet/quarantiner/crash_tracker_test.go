package quarantiner

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestGatewayRefusesRequestThatCrashedThreeEndpoints(t *testing.T) {
	const culprit, innocent = SuspectID(1), SuspectID(2)
	c := NewCrashTracker()
	for n := range 3 {
		crash, now := CrashID(n), timekeeper.Millis(n)*timekeeper.Second
		if isQuarantined, _ := c.IsQuarantined(culprit, now); isQuarantined {
			t.Fatalf("refused after %d crashes, want 3", n)
		}
		c.RecordLost(crash, []SuspectID{culprit}, now)
		if n == 0 {
			c.RecordLost(crash, []SuspectID{innocent}, now)
		}
		c.RecordCrash(crash, now+100)
		c.RecordCrash(crash, now+200)
	}
	if isQuarantined, remaining := c.IsQuarantined(culprit, 3000); !isQuarantined || remaining <= 0 {
		t.Fatalf("refused = %v for %d ms, want a refusal after three crashes", isQuarantined, remaining)
	}
	if isQuarantined, _ := c.IsQuarantined(innocent, 3000); isQuarantined {
		t.Fatal("refused a request that was in flight at one crash only")
	}
	c.Suspects.RecordAnswer(culprit, 3000)
	if isQuarantined, _ := c.IsQuarantined(culprit, 3000); isQuarantined {
		t.Fatal("refused after it was answered in whole")
	}
}

func TestLostRequestsAreNotBlamedForLaterCrashes(t *testing.T) {
	c := NewCrashTracker()
	c.RecordLost(1, []SuspectID{1}, 0)
	c.RecordCrash(1, blameWindow+1)
	if n := c.Suspects.Crashes(1, blameWindow+1); n != 0 {
		t.Fatalf("%d crashes counted against a request lost before the blame window, want 0", n)
	}
}

// A request that is recorded just after the crash is blamed, too, and each request once for each crash.
func TestCrashCountsOnceAgainstEachLostRequest(t *testing.T) {
	c := NewCrashTracker()
	c.RecordLost(1, []SuspectID{1}, 0)
	c.RecordLost(1, []SuspectID{1}, 0)
	c.RecordCrash(1, 10)
	c.RecordLost(1, []SuspectID{1}, 20)
	c.RecordLost(1, []SuspectID{2}, 20)
	c.RecordCrash(1, 30)
	for _, s := range []SuspectID{1, 2} {
		if n := c.Suspects.Crashes(s, 40); n != 1 {
			t.Errorf("%d crashes counted against request %d, want 1", n, s)
		}
	}
}

// shareAll sends the suspects of all trackers to all others.
func shareAll(trackers []*CrashTracker, now timekeeper.Millis) {
	for _, from := range trackers {
		encoded := EncodeSuspicions(from.Suspects.Share(1<<20, now))
		for _, to := range trackers {
			for _, s := range DecodeSuspicions(encoded) {
				to.Suspects.Merge(s, now)
			}
		}
	}
}

func TestCrashesSeenByDifferentGatewaysAddUp(t *testing.T) {
	const culprit = SuspectID(1)
	trackers := make([]*CrashTracker, GatewayQuarantineThreshold)
	for n := range trackers {
		trackers[n] = NewCrashTracker()
		trackers[n].RecordLost(CrashID(n), []SuspectID{culprit}, 0)
		trackers[n].RecordCrash(CrashID(n), 100)
	}
	shareAll(trackers, 200)
	for n, tracker := range trackers {
		if isQuarantined, _ := tracker.IsQuarantined(culprit, 300); !isQuarantined {
			t.Errorf("gateway %d counts %d crashes of %d", n, tracker.Suspects.Crashes(culprit, 300), len(trackers))
		}
	}
}

func TestCrashSeenByManyGatewaysCountsOnce(t *testing.T) {
	const suspect = SuspectID(1)
	trackers := make([]*CrashTracker, 2*GatewayQuarantineThreshold)
	for n := range trackers {
		trackers[n] = NewCrashTracker()
		trackers[n].RecordLost(7, []SuspectID{suspect}, 0)
		trackers[n].RecordCrash(7, 100)
	}
	for range 3 {
		shareAll(trackers, 200)
	}
	for n, tracker := range trackers {
		if crashes := tracker.Suspects.Crashes(suspect, 300); crashes != 1 {
			t.Errorf("gateway %d counts %d crashes, want 1", n, crashes)
		}
	}
}

func TestServedRequestIsClearedAtAllGateways(t *testing.T) {
	const suspect = SuspectID(1)
	trackers := []*CrashTracker{NewCrashTracker(), NewCrashTracker(), NewCrashTracker()}
	for n, tracker := range trackers {
		tracker.RecordLost(CrashID(n), []SuspectID{suspect}, 0)
		tracker.RecordCrash(CrashID(n), 100)
	}
	shareAll(trackers, 200)
	trackers[1].Suspects.RecordAnswer(suspect, 300)
	shareAll(trackers, 400)
	shareAll(trackers, 500)
	for n, tracker := range trackers {
		if isQuarantined, _ := tracker.IsQuarantined(suspect, 600); isQuarantined {
			t.Errorf("gateway %d refuses a request that has been served since its crashes", n)
		}
	}
}
