package configurator

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestReadinessGate(t *testing.T) {
	const peers = 5
	cases := []struct {
		name  string
		run   func(s *ReadinessGate)
		at    timekeeper.Millis
		ready bool
	}{
		{"no answers", func(*ReadinessGate) {}, timekeeper.Second, false},
		{"three answers of one peer count once", func(s *ReadinessGate) {
			s.RecordService()
			s.RecordPeer("a")
			s.RecordPeer("a")
			s.RecordPeer("a")
		}, timekeeper.Second, false},
		{"three peers and the configuration service", func(s *ReadinessGate) {
			s.RecordService()
			s.RecordPeer("a")
			s.RecordPeer("b")
			s.RecordPeer("c")
		}, timekeeper.Second, true},
		{"maximum wait passed", func(s *ReadinessGate) { tickUntil(s, maxStartWait) }, maxStartWait, true},
		{"a pause does not count as waiting", func(s *ReadinessGate) { s.Tick(timekeeper.Second) }, timekeeper.Minute, false},
		{"paused after three peers answered, before the first readiness check", func(s *ReadinessGate) {
			tickUntil(s, timekeeper.Second)
			s.RecordService()
			s.RecordPeer("a")
			s.RecordPeer("b")
			s.RecordPeer("c")
		}, timekeeper.Minute, false},
		{"paused while ready", func(s *ReadinessGate) {
			tickUntil(s, maxStartWait)
			s.Ready(maxStartWait, peers)
		}, maxStartWait + timekeeper.Minute, false},
		{"paused while ready, then one peer answered", func(s *ReadinessGate) {
			tickUntil(s, maxStartWait)
			s.Ready(maxStartWait, peers)
			s.Tick(maxStartWait + timekeeper.Minute)
			s.RecordPeer("a")
		}, maxStartWait + timekeeper.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewReadinessGate(0)
			c.run(&s)
			if ready := s.Ready(c.at, peers); ready != c.ready {
				t.Fatalf("ready = %t, want %t", ready, c.ready)
			}
		})
	}
}

func tickUntil(s *ReadinessGate, to timekeeper.Millis) {
	for now := timekeeper.Millis(0); now <= to; now += timekeeper.Second {
		s.Tick(now)
	}
}
