package configurator

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func TestReadinessGate(t *testing.T) {
	const peers = 5
	cases := []struct {
		name  string
		run   func(g *ReadinessGate)
		at    timekeeper.Millis
		ready bool
	}{
		{"no responses", func(*ReadinessGate) {}, timekeeper.Second, false},
		{"three responses of one peer count once", func(g *ReadinessGate) {
			g.RecordService()
			g.RecordPeer("a")
			g.RecordPeer("a")
			g.RecordPeer("a")
		}, timekeeper.Second, false},
		{"three peers and the configuration service", func(g *ReadinessGate) {
			g.RecordService()
			g.RecordPeer("a")
			g.RecordPeer("b")
			g.RecordPeer("c")
		}, timekeeper.Second, true},
		{"maximum wait passed", func(g *ReadinessGate) { tickUntil(g, maxStartWait) }, maxStartWait, true},
		{"a pause does not count as waiting", func(g *ReadinessGate) { g.Tick(timekeeper.Second) }, timekeeper.Minute, false},
		{"paused after three peers answered, before the first readiness check", func(g *ReadinessGate) {
			tickUntil(g, timekeeper.Second)
			g.RecordService()
			g.RecordPeer("a")
			g.RecordPeer("b")
			g.RecordPeer("c")
		}, timekeeper.Minute, false},
		{"paused while ready", func(g *ReadinessGate) {
			tickUntil(g, maxStartWait)
			g.IsReady(maxStartWait, peers)
		}, maxStartWait + timekeeper.Minute, false},
		{"paused while ready, then one peer answered", func(g *ReadinessGate) {
			tickUntil(g, maxStartWait)
			g.IsReady(maxStartWait, peers)
			g.Tick(maxStartWait + timekeeper.Minute)
			g.RecordPeer("a")
		}, maxStartWait + timekeeper.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewReadinessGate(0)
			c.run(&g)
			if ready := g.IsReady(c.at, peers); ready != c.ready {
				t.Fatalf("ready = %t, want %t", ready, c.ready)
			}
		})
	}
}

func tickUntil(g *ReadinessGate, to timekeeper.Millis) {
	for now := timekeeper.Millis(0); now <= to; now += timekeeper.Second {
		g.Tick(now)
	}
}
