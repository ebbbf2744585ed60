package quarantiner

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func TestGatewayRefusesWhatCrashedThreeEndpoints(t *testing.T) {
	const poison, innocent = model.Fingerprint(1), model.Fingerprint(2)
	s := NewSuspects(NewRegister())
	for n, id := range []model.EndpointID{"a", "b", "c"} {
		now := timekeeper.Millis(n) * timekeeper.Second
		if refused, _ := s.Refused(poison, now); refused {
			t.Fatalf("refused after %d crashes", n)
		}
		s.Lost(id, poison, now)
		if n == 0 {
			s.Lost(id, innocent, now)
		}
		s.Crashed(id, now+100)
		s.Crashed(id, now+200)
	}
	if refused, span := s.Refused(poison, 3000); !refused || span <= 0 {
		t.Fatalf("refused = %v for %d ms", refused, span)
	}
	if refused, _ := s.Refused(innocent, 3000); refused {
		t.Fatal("a request that was in flight once is refused")
	}
	s.Register.Clear(poison)
	if refused, _ := s.Refused(poison, 3000); refused {
		t.Fatal("refused though it was cleared")
	}
}

func TestLostRequestsAreNotBlamedForLaterCrashes(t *testing.T) {
	s := NewSuspects(NewRegister())
	s.Lost("a", 1, 0)
	s.Crashed("a", blameSpan+1)
	if n := s.Register.Crashes(1, blameSpan+1); n != 0 {
		t.Fatalf("%d crashes", n)
	}
}
