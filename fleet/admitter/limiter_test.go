package admitter

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func warmLimiter() *Limiter {
	l := NewLimiter(8, LatencyTargets{FirstToken: 610, TokenGap: 57})
	for l.IsCold() {
		l.Observe(Sample{FirstToken: 40, TokenGap: 20})
	}

	return l
}

func TestLimiterDetectsUnannouncedColdStart(t *testing.T) {
	cases := []struct {
		name    string
		samples []Sample
		cold    bool
	}{
		{"normal latencies", []Sample{{FirstToken: 50, TokenGap: 25}, {FirstToken: 60, TokenGap: 22}}, false},
		{"one slow sample", []Sample{{FirstToken: 500, TokenGap: 20}}, false},
		{"slow first tokens", []Sample{{FirstToken: 500, TokenGap: 20}, {FirstToken: 500, TokenGap: 20}}, true},
		{"slow tokens", []Sample{{FirstToken: 40, TokenGap: 100}, {FirstToken: 40, TokenGap: 100}}, true},
		{"long prompts not in the prefix cache", []Sample{
			{FirstToken: 500, TokenGap: 20, UncachedTokens: 2000}, {FirstToken: 500, TokenGap: 20, UncachedTokens: 2000},
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := warmLimiter()
			for _, s := range c.samples {
				l.Observe(s)
			}
			if l.IsCold() != c.cold {
				t.Fatalf("cold = %t, want %t", l.IsCold(), c.cold)
			}
		})
	}
}

func TestSlowFirstSamplesDoNotRaiseBaseline(t *testing.T) {
	const normalSamples = 14
	l := NewLimiter(2, LatencyTargets{FirstToken: 610, TokenGap: 57})
	for range 2 {
		l.Observe(Sample{FirstToken: 900})
	}
	for range normalSamples {
		l.Observe(Sample{FirstToken: 40})
	}
	if l.IsCold() {
		t.Fatal("the limiter is still cold after normal samples")
	}
	for range 2 {
		l.Observe(Sample{FirstToken: 900})
	}
	if !l.IsCold() {
		t.Fatal("the limiter misses a cold start because the first samples were slow")
	}
}

func TestColdLimitGrowsOnlyWithFinishedRequests(t *testing.T) {
	a := NewAdmitter(NewLimiter(32, LatencyTargets{}))
	started := 0
	for now := timekeeper.Millis(0); now < timekeeper.Hour; now += timekeeper.Minute {
		if a.Admit(Request{Ticket: Ticket(now + 1)}, 100, now).Action == ActionRun {
			started++
		}
	}
	if started != 1 {
		t.Fatalf("%d requests run on a cold endpoint that has finished none, want 1", started)
	}
}
