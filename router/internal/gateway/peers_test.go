package gateway

import (
	"testing"

	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
)

// Whole ranges travel only to gateways that cannot follow the store: with thousands of endpoints there is always one
// change that the other side is about to hear of.
func TestRangesAreCopiedOnlyWhereTheyAreWanted(t *testing.T) {
	r := replicator.NewReplica(0)
	r.Replace([]replicator.Item{{Key: "a", Revision: 7}}, 9, 0)
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
		if got := copyFor(c.theirs, r) != nil; got != c.copied {
			t.Errorf("%s: copied = %v", c.name, got)
		}
	}
	if copyFor(&messenger.RangeState{Wanted: true}, replicator.NewReplica(0)) != nil {
		t.Error("a range was copied that was never read")
	}
}
