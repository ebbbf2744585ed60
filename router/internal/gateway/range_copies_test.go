package gateway

import (
	"testing"

	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
)

// Guards against copying ranges to gateways that follow the store themselves: with thousands of endpoints, a peer nearly
// always lacks some change that it is about to receive from the store.
func TestRangesAreCopiedOnlyOnRequest(t *testing.T) {
	r := replicator.NewReplica(replicator.Options{})
	at := func(revision uint64) replicator.Position { return replicator.Position{Era: 2, Revision: revision} }
	r.Replace([]replicator.Item{{Key: "a", Position: at(7)}}, at(9), 0, 0)
	cases := []struct {
		name   string
		theirs *messenger.RangeState
		copied bool
	}{
		{"follows the store, a little behind", &messenger.RangeState{Era: 2, AsOf: 6, Content: 6, Synced: true}, false},
		{"cut off, behind", &messenger.RangeState{Era: 2, AsOf: 6, Content: 6, Synced: true, Wanted: true}, true},
		{"cut off, but up to date", &messenger.RangeState{Era: 2, AsOf: 8, Content: 7, Synced: true, Wanted: true}, false},
		{"cut off, ahead", &messenger.RangeState{Era: 2, AsOf: 12, Content: 11, Synced: true, Wanted: true}, false},
		{"cut off, in the era before and ahead there", &messenger.RangeState{Era: 1, AsOf: 99, Content: 99, Synced: true, Wanted: true}, true},
		{"cut off, in the next era", &messenger.RangeState{Era: 3, AsOf: 1, Content: 1, Synced: true, Wanted: true}, false},
		{"cut off, knows no era, behind", &messenger.RangeState{AsOf: 6, Content: 6, Synced: true, Wanted: true}, true},
		{"cut off, knows no era, up to date", &messenger.RangeState{AsOf: 9, Content: 7, Synced: true, Wanted: true}, false},
		{"has nothing yet", &messenger.RangeState{Wanted: true}, true},
	}
	for _, c := range cases {
		if got := newRangeCopy(c.theirs, r) != nil; got != c.copied {
			t.Errorf("%s: copied = %v", c.name, got)
		}
	}
	if newRangeCopy(&messenger.RangeState{Wanted: true}, replicator.NewReplica(replicator.Options{})) != nil {
		t.Error("a range that was never read was copied")
	}
}
