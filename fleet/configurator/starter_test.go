package configurator

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestStarterHoldsBack(t *testing.T) {
	const peers = 5
	cases := []struct {
		name  string
		run   func(s *Starter)
		at    timekeeper.Millis
		ready bool
	}{
		{"nothing heard", func(*Starter) {}, timekeeper.Second, false},
		{"one peer thrice is one peer", func(s *Starter) {
			s.HeardService()
			s.HeardPeer("a")
			s.HeardPeer("a")
			s.HeardPeer("a")
		}, timekeeper.Second, false},
		{"three peers and the service", func(s *Starter) {
			s.HeardService()
			s.HeardPeer("a")
			s.HeardPeer("b")
			s.HeardPeer("c")
		}, timekeeper.Second, true},
		{"bounded wait", func(s *Starter) { beats(s, startWait) }, startWait, true},
		{"a pause is no wait", func(s *Starter) { s.Beat(timekeeper.Second) }, timekeeper.Minute, false},
		{"paused after three peers, before it was asked", func(s *Starter) {
			beats(s, timekeeper.Second)
			s.HeardService()
			s.HeardPeer("a")
			s.HeardPeer("b")
			s.HeardPeer("c")
		}, timekeeper.Minute, false},
		{"paused when ready", func(s *Starter) {
			beats(s, startWait)
			s.Ready(startWait, peers)
		}, startWait + timekeeper.Minute, false},
		{"paused, then one peer heard", func(s *Starter) {
			beats(s, startWait)
			s.Ready(startWait, peers)
			s.Beat(startWait + timekeeper.Minute)
			s.HeardPeer("a")
		}, startWait + timekeeper.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewStarter(0)
			c.run(&s)
			if ready := s.Ready(c.at, peers); ready != c.ready {
				t.Fatalf("ready = %t, want %t", ready, c.ready)
			}
		})
	}
}

func beats(s *Starter, to timekeeper.Millis) {
	for now := timekeeper.Millis(0); now <= to; now += timekeeper.Second {
		s.Beat(now)
	}
}
