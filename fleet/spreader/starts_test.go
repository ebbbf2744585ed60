package spreader

import "testing"

func TestStartsCountTheRecentOnes(t *testing.T) {
	var s Starts
	if n := s.Recent(1000, 500); n != 0 {
		t.Errorf("%d starts before the first", n)
	}
	s.Record(1000)
	s.Record(1400)
	s.Record(1500)
	if n := s.Recent(500, 1600); n != 2 {
		t.Errorf("%d starts within 500 ms, want 2", n)
	}
	for range 3 * startsKept {
		s.Record(1600)
	}
	if n := s.Recent(500, 1600); n != startsKept {
		t.Errorf("%d starts, want the %d that are kept", n, startsKept)
	}
}

// Own starts beyond what is usual show that the others' loads have grown as well; fewer show nothing.
func TestUnseenGrowsWithOwnStarts(t *testing.T) {
	const usual, others = 4.0, 19
	for own := range 2 {
		if got := Unseen(usual, own, others); got != usual {
			t.Errorf("%.2f with %d own starts, want the usual %.0f", got, own, usual)
		}
	}
	last := usual
	for own := 2; own <= startsKept; own++ {
		got := Unseen(usual, own, others)
		if got <= last || got > float64(own*others) {
			t.Errorf("%.2f with %d own starts after %.2f with one fewer", got, own, last)
		}
		last = got
	}
	if got := Unseen(usual, 5, 0); got != usual {
		t.Errorf("%.2f without others", got)
	}
	if got := Unseen(100, 3, others); got != 100 {
		t.Errorf("%.2f with fewer own starts than the others have each", got)
	}
}
