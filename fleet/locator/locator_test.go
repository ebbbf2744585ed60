package locator

import (
	"slices"
	"testing"

	"cardamompulley/fleet/model"
)

func TestHoldersAreTheLastUsedOnes(t *testing.T) {
	const lifetime = 100
	l := NewLocator(2, lifetime)
	for n, id := range []model.EndpointID{"a", "b", "c", "d", "b"} {
		l.Note(1, id, 10)
		if n == 0 && l.Note(1, id, 10) {
			t.Fatal("a known holder is news")
		}
	}
	if got := l.Holders(1, 10); !slices.Equal(got, []model.EndpointID{"b", "d", "c"}) {
		t.Fatalf("holders %v", got)
	}
	if got := l.Holders(1, 10+lifetime); len(got) != 0 {
		t.Fatalf("holders %v after their lifetime", got)
	}
	l.Note(2, "x", 10)
	l.Note(3, "y", 10)
	if got := l.Holders(1, 10); len(got) != 0 {
		t.Fatalf("holders %v of a session that had to go", got)
	}
}

func TestJournalGoesOnWhereItWasRead(t *testing.T) {
	var j Journal
	for n := range uint64(maxPlacements + 10) {
		j.Add(Placement{Part: n})
	}
	old, next := j.Since(0, 5)
	if len(old) != 5 || old[0].Part != 10 || next != 15 {
		t.Fatalf("%v up to %d", old, next)
	}
	rest, end := j.Since(next, maxPlacements)
	if len(rest) != maxPlacements-5 || rest[0].Part != 15 || end != maxPlacements+10 {
		t.Fatalf("%d more up to %d", len(rest), end)
	}
	if none, again := j.Since(end, 5); len(none) != 0 || again != end {
		t.Fatalf("%v up to %d", none, again)
	}
}
