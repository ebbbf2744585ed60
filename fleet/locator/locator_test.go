package locator

import (
	"slices"
	"testing"

	"cardamompulley/fleet/model"
)

func TestHoldersReturnsMostRecentlyUsedEndpoints(t *testing.T) {
	const ttl = 100
	l := NewLocator(2, ttl)
	for n, id := range []model.EndpointID{"a", "b", "c", "d", "b"} {
		l.Record(1, id, 10)
		if n == 0 && l.Record(1, id, 10) {
			t.Fatal("Record reports a known holder as new")
		}
	}
	if got := l.Holders(1, 10); !slices.Equal(got, []model.EndpointID{"b", "d", "c"}) {
		t.Fatalf("holders = %v, want b, d, c", got)
	}
	if got := l.Holders(1, 10+ttl); len(got) != 0 {
		t.Fatalf("holders = %v after the TTL", got)
	}
	l.Record(2, "x", 10)
	l.Record(3, "y", 10)
	if got := l.Holders(1, 10); len(got) != 0 {
		t.Fatalf("holders = %v of an evicted part", got)
	}
}

func TestJournalSinceContinuesFromSequenceNumber(t *testing.T) {
	var j PlacementLog
	for n := range uint64(maxPlacements + 10) {
		j.Add(Placement{Part: PartHash(n)})
	}
	all, end := j.Since(0, maxPlacements)
	if len(all) != maxPlacements || all[0].Part != 10 || end != maxPlacements+10 {
		t.Fatalf("got %d placements up to %d", len(all), end)
	}
	newest, end := j.Since(0, 5)
	if len(newest) != 5 || newest[0].Part != maxPlacements+5 || end != maxPlacements+10 {
		t.Fatalf("got %v up to %d", newest, end)
	}
	j.Add(Placement{Part: 1})
	rest, end := j.Since(end, 5)
	if len(rest) != 1 || rest[0].Part != 1 || end != maxPlacements+11 {
		t.Fatalf("got %v after Add, up to %d", rest, end)
	}
	if none, again := j.Since(end, 5); len(none) != 0 || again != end {
		t.Fatalf("got %v up to %d", none, again)
	}
}

// Guards against short messages whose few placements spare hardly any prefill.
func TestSinceReturnsTheLongestPartsInOrder(t *testing.T) {
	var j PlacementLog
	for n, tokens := range []model.Tokens{9000, 100, 200, 12000, 100} {
		j.Add(Placement{Part: PartHash(n), Tokens: tokens})
	}
	got, end := j.Since(0, 3)
	if len(got) != 3 || got[0].Part != 0 || got[1].Part != 2 || got[2].Part != 3 || end != 5 {
		t.Fatalf("got %v up to %d", got, end)
	}
}

func TestSinceLeavesOutWithdrawnPlacements(t *testing.T) {
	var j PlacementLog
	for _, id := range []model.EndpointID{"a", "b", "c"} {
		j.Add(Placement{Part: 1, Endpoint: id})
	}
	j.Withdraw(1, "b")
	got, end := j.Since(0, 3)
	if len(got) != 2 || got[0].Endpoint != "a" || got[1].Endpoint != "c" || end != 3 {
		t.Fatalf("got %v up to %d", got, end)
	}
}

func TestForgetRemovesOneHolder(t *testing.T) {
	l := NewLocator(2, 100)
	l.Record(1, "a", 0)
	l.Record(1, "b", 0)
	l.Forget(1, "a")
	l.Forget(2, "a")
	if got := l.Holders(1, 0); !slices.Equal(got, []model.EndpointID{"b"}) {
		t.Fatalf("holders = %v, want b", got)
	}
}

func TestEmptiedCachesHoldNothingOfBefore(t *testing.T) {
	const ttl = 100
	l := NewLocator(2, ttl)
	l.Record(1, "a", 10)
	l.Record(1, "b", 10)
	l.RecordEmpty("a", 20, 20)
	if got := l.Holders(1, 30); !slices.Equal(got, []model.EndpointID{"b"}) {
		t.Fatalf("holders = %v, want b", got)
	}
	if !l.Record(1, "a", 40) {
		t.Fatal("Record does not report a holder as new whose cache was emptied")
	}
	if got := l.Holders(1, 50); !slices.Equal(got, []model.EndpointID{"a", "b"}) {
		t.Fatalf("holders = %v, want a, b", got)
	}
	l.RecordEmpty("b", 20+ttl, 20+ttl)
	if len(l.emptyAt) != 1 {
		t.Fatalf("%d endpoints with an emptied cache are remembered, want 1", len(l.emptyAt))
	}
}
