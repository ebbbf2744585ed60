package balancer

import (
	"fmt"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// waveCase is a load and the slots of an endpoint that it meets.
type waveCase struct {
	load  fleetLoad
	slots int
}

func (c waveCase) String() string {
	return fmt.Sprintf("%d gateways, %d endpoints, %d ms, gossip each %d ms", c.load.gateways, c.load.domains*c.load.perDomain, c.load.duration,
		c.load.gossipInterval())
}

var waveCases = []waveCase{
	{fleetLoad{gateways: 4, domains: 2, perDomain: 5, perSecond: 600, duration: 60}, 6},
	{fleetLoad{gateways: 20, domains: 2, perDomain: 5, perSecond: 600, duration: 60}, 6},
	{fleetLoad{gateways: 20, domains: 4, perDomain: 15, perSecond: 210, duration: 2000}, 12},
}

var largeWaveCases = []waveCase{
	{fleetLoad{gateways: 20, domains: 4, perDomain: 15, perSecond: 210, duration: 2000, slowGossip: 3}, 12},
	{fleetLoad{gateways: 103, domains: 5, perDomain: 6, perSecond: 1600, duration: 60}, 6},
	{fleetLoad{gateways: 103, domains: 6, perDomain: 30, perSecond: 650, duration: 2000}, 12},
	{fleetLoad{gateways: 410, domains: 6, perDomain: 10, perSecond: 3200, duration: 60}, 6},
	{fleetLoad{gateways: 410, domains: 6, perDomain: 140, perSecond: 3000, duration: 2000}, 12},
}

// BenchmarkEvenLoad reports the figures of all sizes and ways to choose.
func BenchmarkEvenLoad(b *testing.B) {
	for _, c := range append(waveCases, largeWaveCases...) {
		for _, p := range []policy{policyPlain, policySpread, policyUniform, policyTwo, policyLeast, policyOracle} {
			b.Run(fmt.Sprintf("%s/%s", c, p), func(b *testing.B) {
				for b.Loop() {
					e := c.playSeeds(b, p, undisturbed)
					b.ReportMetric(e.busiestOverMean, "busiest/mean")
					b.ReportMetric(100*e.idleShare, "%-idle")
					b.ReportMetric(100*e.waitShare, "%-waiting")
					b.ReportMetric(float64(e.late), "ms-99th")
				}
			})
		}
	}
}

// playSeeds returns the means over some seeds: what callers see in a wave depends on chance.
// The function that disturb returns, if any, is called each millisecond.
func (c waveCase) playSeeds(t testing.TB, p policy, disturb func(*waveRun) func(timekeeper.Millis)) evenness {
	t.Helper()
	const seeds = 5
	var sum evenness
	for c.load.seed = range uint64(seeds) {
		r := newWaveRun(c.load, c.slots, p)
		e := r.play(t, disturb(r))
		sum.busiestOverMean += e.busiestOverMean / seeds
		sum.idleShare += e.idleShare / seeds
		sum.waitShare += e.waitShare / seeds
		sum.late += e.late / seeds
	}

	return sum
}

func undisturbed(*waveRun) func(timekeeper.Millis) { return func(timekeeper.Millis) {} }

// Guards against gateways that all send to the endpoint that was the least loaded at their last reports: endpoints are overrun in turns
// while others idle.
func TestSpreadingEvensTheLoad(t *testing.T) {
	// chance is the share of idle time that some clumps make.
	const chance = 0.001
	for _, c := range waveCases {
		alike, spread := c.playSeeds(t, policyPlain, undisturbed), c.playSeeds(t, policySpread, undisturbed)
		uniform := c.playSeeds(t, policyUniform, undisturbed)
		t.Logf("%s: alike %+v, spread %+v, uniform %+v", c, alike, spread, uniform)
		if spread.busiestOverMean >= alike.busiestOverMean || spread.busiestOverMean >= uniform.busiestOverMean || spread.idleShare > alike.idleShare+chance {
			t.Errorf("%s: busiest over mean %.2f and idle %.3f, alike %.2f and %.3f, uniform %.2f", c, spread.busiestOverMean, spread.idleShare,
				alike.busiestOverMean, alike.idleShare, uniform.busiestOverMean)
		}
		if few := 10; c.load.gateways > few && (spread.waitShare >= alike.waitShare || spread.late >= alike.late) {
			t.Errorf("%s: %.3f wait, one in 100 over %d ms; alike %.3f and %d ms", c, spread.waitShare, spread.late, alike.waitShare, alike.late)
		}
	}
}

// Sessions must stay with the prompts that endpoints hold while the knowledge of loads is fresh.
func TestSpreadingKeepsSessions(t *testing.T) {
	const seeds, mostLost = 5, 0.05
	l := fleetLoad{gateways: 7, domains: 3, perDomain: 4, sessions: 150, perSecond: 60, duration: 800}
	var alike, spread float64
	for l.seed = range uint64(seeds) {
		l.isAlike = true
		_, read := l.play(t)
		alike += read / seeds
		l.isAlike = false
		_, read = l.play(t)
		spread += read / seeds
	}
	if spread > alike+mostLost {
		t.Errorf("%.1f %% of the prompts have to be read, %.1f %% without spreading", 100*spread, 100*alike)
	}
}

// Gateways that are no longer heard of, a gateway that starts without reports and an endpoint that leaves, all in a wave, must not make the
// load less even than it is where gateways choose alike.
func TestSpreadingOutlastsLostReports(t *testing.T) {
	const cutAt, joinAt, leaveAt = 6 * timekeeper.Second, 8 * timekeeper.Second, 9 * timekeeper.Second
	disturb := func(r *waveRun) func(timekeeper.Millis) {
		gone := r.ids[0]

		return func(now timekeeper.Millis) {
			switch now {
			case cutAt:
				r.silent = r.gateways / 2
			case joinAt:
				r.restart(0)
			case leaveAt:
				r.remove(gone)
			}
			if now > leaveAt+timekeeper.Second && r.loads[gone] > 0 {
				t.Fatalf("%d requests at an endpoint that left %d ms ago", r.loads[gone], now-leaveAt)
			}
			if n, _ := r.balancers[r.gateways-1].ReportAge(now); now == leaveAt+timekeeper.Second && n >= r.gateways/2 {
				t.Fatalf("%d reports are held, %d of %d gateways do not report", n, r.silent, r.gateways)
			}
		}
	}
	alike, spread := waveCases[1].playSeeds(t, policyPlain, disturb), waveCases[1].playSeeds(t, policySpread, disturb)
	t.Logf("alike %+v, spread %+v", alike, spread)
	if spread.busiestOverMean >= alike.busiestOverMean || spread.waitShare >= alike.waitShare || spread.late >= alike.late {
		t.Errorf("spread %+v, alike %+v", spread, alike)
	}
}

// BenchmarkChooseAtSize measures a choice at the stated size: 410 gateways before 840 endpoints.
func BenchmarkChooseAtSize(b *testing.B) {
	const gateways, running = 410, 8
	for _, p := range []policy{policyPlain, policySpread} {
		b.Run(string(p), func(b *testing.B) {
			r := newWaveRun(fleetLoad{gateways: 1, domains: 6, perDomain: 140}, 64, p)
			x := r.balancers[0]
			for g := range gateways - 1 {
				report := LoadReport{Gateway: NameHash(1 + g), CountedAt: 1}
				for n := range running {
					report.Loads = append(report.Loads, EndpointLoad{Endpoint: HashName(r.ids[(running*g+n)%len(r.ids)]), Running: 1})
				}
				x.MergeReport(report, 2)
			}
			for b.Loop() {
				if _, refusal := x.Choose(r.view, Request{Service: testService, Session: 7}, 500); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}

func TestUnevennessIsThatOfExpectedLoads(t *testing.T) {
	b := newTestBalancer()
	v := newView(2, 2)
	if u := b.Unevenness(v, 0); len(u) > 0 {
		t.Errorf("%v without requests", u)
	}
	b.RecordStart("e-0-0", 0)
	b.RecordStart("e-0-0", 0)
	b.RecordStart("e-1-1", 0)
	b.RecordStart("e-1-1", 0)
	if u := b.Unevenness(v, 0); u[testService] != 2 {
		t.Errorf("%v with two of four endpoints in use, want 2", u)
	}
}

// Guards against an endpoint that takes no requests, so that it looks idle, and draws all that spills.
func TestSpilloverDoesNotPreferAnIdleEndpoint(t *testing.T) {
	const requests, most = 200, 50
	b := newTestBalancer()
	b.Random = func() float64 { return 0.5 }
	v := newView(1, 6)
	for n, load := range []int{20, 0, 3, 3, 3, 3} {
		for range load {
			b.RecordStart(v.Endpoints(testService)[n].ID, 0)
		}
	}
	idle := 0
	for n := range requests {
		c, refusal := b.Choose(v, Request{Service: testService, Session: uint64(1 + n)}, 0)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if c.Endpoint.ID == v.Endpoints(testService)[1].ID {
			idle++
		}
	}
	if idle > most {
		t.Errorf("%d of %d requests went to the idle one of six endpoints", idle, requests)
	}
}
