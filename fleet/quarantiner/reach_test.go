package quarantiner

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestReachShare(t *testing.T) {
	cases := []struct {
		name              string
		gateways          int
		succeeded, failed int
		want              float64
	}{
		{"alone", 1, 0, 0, 1},
		{"no exchange has ended", 4, 0, 0, 0.25},
		{"all answer", 4, 3, 0, 1},
		{"none answers", 4, 0, 3, 0.25},
		{"half of the others answer", 5, 4, 4, 0.6},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			r := &Reach{}
			r.RecordExchange(x.failed == 0, 0)
			now := reachWindow + 1
			for range x.succeeded {
				r.RecordExchange(true, now)
			}
			for range x.failed {
				r.RecordExchange(false, now)
			}
			if got := r.Share(x.gateways, now); got != x.want {
				t.Errorf("share %v, want %v", got, x.want)
			}
		})
	}
}

// A gateway that hears from no other must not tolerate as many crashes as the whole fleet.
func TestGatewayCutOffRefusesRequestAfterOneCrash(t *testing.T) {
	culprit := Suspect{1, KindRequest}
	c := NewCrashTracker()
	c.FleetSize = func() int { return 4 }
	c.Reach.RecordExchange(true, 0)
	c.Suspects.Add(culprit.ID, 1, 0)
	if isQuarantined, _ := c.IsQuarantined(culprit, 0); isQuarantined {
		t.Fatal("refused after one crash although the gateway hears from all others")
	}
	if isQuarantined, _ := c.IsQuarantined(Suspect{2, KindRequest}, 2*reachWindow); isQuarantined {
		t.Fatal("refused a request that has crashed nothing")
	}
	isQuarantined, retryAfter := c.IsQuarantined(culprit, 2*reachWindow)
	if !isQuarantined || retryAfter > 10*timekeeper.Second {
		t.Fatalf("refused = %v, again after %d ms, want a refusal for a short time", isQuarantined, retryAfter)
	}
}
