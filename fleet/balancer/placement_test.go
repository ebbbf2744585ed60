package balancer

import (
	"testing"

	"cardamompulley/fleet/model"
)

// Guards against messages that are filled with the holders of parts that all sessions share.
func TestOnlyTheFirstHoldersOfAPartAreTold(t *testing.T) {
	const sessions = 200
	v := newView(2, 10)
	b := newTestBalancer()
	for n := range uint64(sessions) {
		parts := []model.PromptPart{{ID: 1, Tokens: 100}, {ID: 1000 + n, Tokens: 5000}}
		if _, refusal := b.Choose(v, Request{Service: testService, Session: 1000 + n, SharedParts: parts}, 0); refusal != nil {
			t.Fatal(refusal)
		}
	}
	placements, _ := b.PlacementLog.Since(0, maxTrackedParts)
	if got := len(placements); got != sessions+enoughHolders {
		t.Fatalf("%d placements told, want those of %d sessions and %d of the shared part", got, sessions, enoughHolders)
	}
	for _, p := range placements {
		if p.Tokens != 100 && p.Tokens != 5000 {
			t.Fatalf("placement without the length of its part: %+v", p)
		}
	}
}
