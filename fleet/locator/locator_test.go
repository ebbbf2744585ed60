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
		j.Add(Placement{Part: PartCode(n)})
	}
	all, end := j.Since(0, maxPlacements)
	if len(all) != maxPlacements || all[0].Part != 10 || end != maxPlacements+10 {
		t.Fatalf("%d up to %d", len(all), end)
	}
	newest, end := j.Since(0, 5)
	if len(newest) != 5 || newest[0].Part != maxPlacements+5 || end != maxPlacements+10 {
		t.Fatalf("%v up to %d", newest, end)
	}
	j.Add(Placement{Part: 1})
	rest, end := j.Since(end, 5)
	if len(rest) != 1 || rest[0].Part != 1 || end != maxPlacements+11 {
		t.Fatalf("%v more up to %d", rest, end)
	}
	if none, again := j.Since(end, 5); len(none) != 0 || again != end {
		t.Fatalf("%v up to %d", none, again)
	}
}
