package balancer

import (
	"math/rand/v2"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/estimator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	fakeFixed    = 40
	fakePerMilli = 60
	fakeSlowdown = 2.5
	fakeEpisode  = 600 * timekeeper.Millis(1)
	fakeTarget   = 400 * timekeeper.Millis(1)
)

// fakeEngines are ten endpoints that work on one prompt after the other; now and then one is slowed for a while.
type fakeEngines struct {
	view      *cataloguer.View
	balancer  *Balancer
	random    *rand.Rand
	busyUntil map[model.EndpointID]timekeeper.Millis
	slowUntil map[model.EndpointID]timekeeper.Millis
	// told is what endpoints tell of their slowdown.
	told   func(slowdown float64) float64
	events []fakeEvent

	requests, inTime, long, longInTime int
	// heldUp counts the requests that ran beside work of over fakeTarget/2, which stops their streams for as long.
	heldUp int
}

// fakeEvent is a first event that comes at a time.
type fakeEvent struct {
	at      timekeeper.Millis
	request Request
	choice  Choice
	sentAt  timekeeper.Millis
}

func newFakeEngines(avoidsMisses bool) *fakeEngines {
	f := &fakeEngines{
		view: newView(1, 10), balancer: newTestBalancer(), random: rand.New(rand.NewPCG(5, 6)),
		busyUntil: map[model.EndpointID]timekeeper.Millis{}, slowUntil: map[model.EndpointID]timekeeper.Millis{},
		told: func(slowdown float64) float64 { return slowdown },
	}
	f.balancer.AvoidsMisses = avoidsMisses

	return f
}

func (f *fakeEngines) slowdown(id model.EndpointID, now timekeeper.Millis) float64 {
	if now < f.slowUntil[id] {
		return fakeSlowdown
	}

	return 1
}

// send places a request, and its endpoint works on it.
func (f *fakeEngines) send(t *testing.T, r Request, now timekeeper.Millis) {
	t.Helper()
	c, refusal := f.balancer.Choose(f.view, r, now)
	if refusal != nil {
		t.Fatal(refusal)
	}
	id := c.Endpoint.ID
	f.balancer.RecordStart(id, now)
	f.balancer.Costs.RecordStart(c.Endpoint.Process(), c.Forecast, now)
	work := timekeeper.Millis(f.slowdown(id, now) * float64(c.Work.Read) / fakePerMilli)
	if work > fakeTarget/2 {
		f.heldUp += f.balancer.Load(id) - 1
	}
	f.busyUntil[id] = max(f.busyUntil[id], now) + work
	f.events = append(f.events, fakeEvent{at: f.busyUntil[id] + fakeFixed, request: r, choice: c, sentAt: now})
}

// finish takes in the first events that have come.
func (f *fakeEngines) finish(now timekeeper.Millis) {
	rest := f.events[:0]
	for _, e := range f.events {
		if e.at > now {
			rest = append(rest, e)

			continue
		}
		id := e.choice.Endpoint.ID
		f.balancer.RecordFinish(id)
		f.balancer.RecordAttemptEnd(f.view, e.request, e.choice, true, now)
		f.balancer.Costs.RecordFirst(estimator.Answer{
			Service: testService, Endpoint: e.choice.Endpoint.Process(), Work: e.choice.Work, Expected: e.choice.Forecast,
			Took: e.at - e.sentAt, Slowdown: f.told(f.slowdown(id, now)),
		}, now)
		isInTime := e.at-e.sentAt <= fakeTarget
		f.requests++
		if isInTime {
			f.inTime++
		}
		if e.choice.Work.Read >= 10_000 {
			f.long++
			if isInTime {
				f.longInTime++
			}
		}
	}
	f.events = rest
}

// play sends 60 requests a second, one in five of 10,000 tokens that no endpoint holds, the others of 100 tokens in sessions that one holds.
func (f *fakeEngines) play(t *testing.T, from, length timekeeper.Millis) {
	t.Helper()
	for now := from; now < from+length; now++ {
		f.finish(now)
		if f.random.Float64() < 0.004 {
			f.slowUntil[f.view.Endpoints(testService)[f.random.IntN(10)].ID] = now + fakeEpisode
		}
		if f.random.Float64() >= 0.06 {
			continue
		}
		session := 1 + uint64(f.random.IntN(20))
		r := Request{
			Service: testService, Session: session, SharedParts: []model.PromptPart{{ID: session, Tokens: 900}}, OwnTokens: 100, TargetLatency: fakeTarget,
		}
		if f.random.IntN(5) == 0 {
			r.Session = f.random.Uint64()
			r.SharedParts = []model.PromptPart{{ID: r.Session, Tokens: 10_000}}
		}
		f.send(t, r, now)
	}
}

// Plays the load that avoidMiss answers: callers of long prompts get more answers in time, and streams are held up less.
func TestMissesAreAvoidedWithLongPromptsAndSlowedEndpoints(t *testing.T) {
	play := func(avoidsMisses bool) *fakeEngines {
		f := newFakeEngines(avoidsMisses)
		f.play(t, 0, timekeeper.Minute)

		return f
	}
	without, with := play(false), play(true)
	share := func(f *fakeEngines) float64 { return float64(f.longInTime) / float64(f.long) }
	t.Logf("in time: %d of %d, long ones %d of %d, held up %d; without forecasts %d of %d, long ones %d of %d, held up %d",
		with.inTime, with.requests, with.longInTime, with.long, with.heldUp,
		without.inTime, without.requests, without.longInTime, without.long, without.heldUp)
	if late, before := 1-share(with), 1-share(without); late > 0.7*before {
		t.Errorf("%.3f of the long prompts are late, without forecasts %.3f", late, before)
	}
	if with.requests-with.inTime >= without.requests-without.inTime {
		t.Errorf("%d requests are late, without forecasts %d", with.requests-with.inTime, without.requests-without.inTime)
	}
	if with.heldUp > without.heldUp {
		t.Errorf("%d streams are held up, without forecasts %d", with.heldUp, without.heldUp)
	}
}

// The figure of the load vanishes halfway: what is left is what the times of answers tell, and no more requests are late than without
// forecasts.
func TestMissesAreAvoidedAfterTheSlowdownVanishes(t *testing.T) {
	play := func(avoidsMisses bool) int {
		f := newFakeEngines(avoidsMisses)
		f.play(t, 0, 30*timekeeper.Second)
		f.told = func(float64) float64 { return 0 }
		late := f.requests - f.inTime
		f.play(t, 30*timekeeper.Second, timekeeper.Minute)

		return f.requests - f.inTime - late
	}
	with, without := play(true), play(false)
	t.Logf("late: %d, without forecasts %d", with, without)
	if with > without {
		t.Errorf("%d requests are late, without forecasts %d", with, without)
	}
}

// A gateway that has learnt nothing, requests without a target latency, and gateways that do not place by cost choose as without forecasts.
func TestChoicesStayWithoutForecasts(t *testing.T) {
	trained := newFakeEngines(true)
	trained.play(t, 0, 20*timekeeper.Second)
	cases := map[string]struct {
		costs  *estimator.Estimator
		avoids bool
		target timekeeper.Millis
	}{
		"nothing learnt":    {estimator.NewEstimator(), true, 1},
		"no target latency": {trained.balancer.Costs, true, 0},
		"not by cost":       {trained.balancer.Costs, false, 1},
	}
	for name, c := range cases {
		v, b, plain := newView(1, 10), newTestBalancer(), newTestBalancer()
		b.Costs, b.AvoidsMisses = c.costs, c.avoids
		for n := range uint64(200) {
			r := Request{Service: testService, Session: n%50 + 1, SharedParts: []model.PromptPart{{ID: n%50 + 1, Tokens: 50_000}}, TargetLatency: c.target}
			want, _ := plain.Choose(v, r, 0)
			if got, _ := b.Choose(v, r, 0); got.Endpoint != want.Endpoint || got.Reason != want.Reason {
				t.Fatalf("%s: chose %s (%s), want %s (%s)", name, got.Endpoint.ID, got.Reason, want.Endpoint.ID, want.Reason)
			}
		}
	}
}

// Whatever is forecast, no request is moved to an endpoint over the load bound, nor a holder passed over that answers in time.
func TestAvoidedMissesKeepTheLoadBound(t *testing.T) {
	trained := newFakeEngines(true)
	trained.play(t, 0, 20*timekeeper.Second)
	r := rand.New(rand.NewPCG(7, 8))
	moved := 0
	for n := range timekeeper.Millis(300) {
		now := (30 + 2*n) * timekeeper.Second
		v, b := newView(1, 10), newTestBalancer()
		b.Costs, b.AvoidsMisses = trained.balancer.Costs, true
		for _, e := range v.Endpoints(testService) {
			for range r.IntN(12) {
				b.RecordStart(e.ID, 0)
			}
			b.Costs.RecordStart(e.Process(), estimator.Expectation{Work: timekeeper.Millis(r.IntN(1000))}, now)
		}
		request := Request{
			Service: testService, Session: 7, SharedParts: []model.PromptPart{{ID: 7, Tokens: model.Tokens(r.IntN(20_000))}}, TargetLatency: fakeTarget,
		}
		set := b.candidates(v, v.Configuration.Services[testService], request, now)
		limit := b.sessionBound(&set, now)
		c, refusal := b.Choose(v, request, now)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if c.Reason != ReasonCost {
			continue
		}
		moved++
		if c.Expected >= limit || c.Forecast.First > fakeTarget {
			t.Fatalf("moved to an endpoint with load %.1f (limit %.1f) that answers in %d ms", c.Expected, limit, c.Forecast.First)
		}
	}
	if moved == 0 {
		t.Fatal("no request was moved")
	}
}
