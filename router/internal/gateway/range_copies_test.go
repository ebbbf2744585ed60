package gateway

import (
	"testing"

	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
)

// Guards against copying ranges to gateways that follow the store themselves: with thousands of endpoints, a peer nearly
// always lacks some change that it is about to receive from the store.
func TestRangesAreCopiedOnlyOnRequest(t *testing.T) {
	r := replicator.NewReplica(0)
	r.Replace([]replicator.Item{{Key: "a", Position: replicator.Position{Revision: 7}}}, 9, 0)
	cases := []struct {
		name   string
		theirs *messenger.RangeState
		copied bool
	}{
		{"follows the store, a little behind", &messenger.RangeState{AsOf: 6, Content: 6, Synced: true}, false},
		{"cut off, behind", &messenger.RangeState{AsOf: 6, Content: 6, Synced: true, Wanted: true}, true},
		{"cut off, but up to date", &messenger.RangeState{AsOf: 8, Content: 7, Synced: true, Wanted: true}, false},
		{"cut off, ahead", &messenger.RangeState{AsOf: 12, Content: 11, Synced: true, Wanted: true}, false},
		{"has nothing yet", &messenger.RangeState{Wanted: true}, true},
	}
	for _, c := range cases {
		if got := newRangeCopy(c.theirs, r) != nil; got != c.copied {
			t.Errorf("%s: copied = %v", c.name, got)
		}
	}
	if newRangeCopy(&messenger.RangeState{Wanted: true}, replicator.NewReplica(0)) != nil {
		t.Error("a range that was never read was copied")
	}
}
