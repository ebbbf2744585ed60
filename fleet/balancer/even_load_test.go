package balancer

import (
	"container/heap"
	"math"
	"slices"
	"testing"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// policy is a way to choose an endpoint without a session, at a gateway.
type policy string

const (
	// policyPlain is the balancer without, policySpread with spreading. The others are for comparison: policyOracle knows all loads.
	policyPlain   policy = "alike"
	policySpread  policy = "spread"
	policyUniform policy = "uniform"
	policyTwo     policy = "two random"
	policyLeast   policy = "least known"
	policyOracle  policy = "oracle"
)

const (
	// waveSwing is how far arrivals rise above and fall below their mean, waveTime the length of a wave.
	waveSwing = 0.55
	waveTime  = 4 * timekeeper.Second
	// clumpSize is the number of requests that arrive together.
	clumpSize = 3
	// One endpoint in slowEach runs slowFactor times slower for slowTime, then others.
	slowFactor, slowEach = 2.5, 8
	slowTime             = 600 * timekeeper.Millis(1)
	unevenWindow         = 100 * timekeeper.Millis(1)
	waveEnd              = 12 * timekeeper.Second
)

// endpointQueue is what happens at one endpoint: running requests and those that wait for a slot.
type endpointQueue struct {
	running int
	isSlow  bool
	waiting []waitingRequest
	// loadTime is the load summed over the milliseconds of the current window.
	loadTime int
}

type waitingRequest struct {
	gateway int
	since   timekeeper.Millis
}

// waveRun plays arrivals in waves and clumps, without sessions, against endpoints with a few slots.
type waveRun struct {
	*fleetRun
	slots  int
	policy policy
	queues map[model.EndpointID]*endpointQueue
	ids    []model.EndpointID

	unevenness, idle float64
	windows, samples int
	waits            []timekeeper.Millis
}

// evenness is what callers and operators see of a waveRun.
type evenness struct {
	// busiestOverMean is the largest load over the mean, by windows; idleShare the share of the endpoints' time that they are idle
	// while others have a queue.
	busiestOverMean, idleShare float64
	// waitShare is the share of the requests that wait for a slot; late is the wait that one in a hundred exceeds.
	waitShare float64
	late      timekeeper.Millis
}

func newWaveRun(l fleetLoad, slots int, p policy) *waveRun {
	l.isWhole, l.isAlike = true, p != policySpread
	r := &waveRun{fleetRun: newFleetRun(l), slots: slots, policy: p, queues: map[model.EndpointID]*endpointQueue{}}
	for _, e := range r.view.Endpoints(testService) {
		e.Slots = slots
		r.ids = append(r.ids, e.ID)
		r.queues[e.ID] = &endpointQueue{}
	}

	return r
}

func (r *waveRun) choose(t testing.TB, g int, now timekeeper.Millis) model.EndpointID {
	t.Helper()
	known := func(x, y model.EndpointID) int { return r.balancers[g].Load(x) - r.balancers[g].Load(y) }
	r.random.Shuffle(len(r.ids), func(x, y int) { r.ids[x], r.ids[y] = r.ids[y], r.ids[x] })
	switch r.policy {
	case policyUniform:
		return r.ids[0]
	case policyTwo:
		return slices.MinFunc(r.ids[:2], known)
	case policyLeast:
		return slices.MinFunc(r.ids, known)
	case policyOracle:
		return slices.MinFunc(r.ids, func(x, y model.EndpointID) int { return r.loads[x] - r.loads[y] })
	case policyPlain, policySpread:
	}
	c, refusal := r.balancers[g].Choose(r.view, Request{Service: testService}, now)
	if refusal != nil {
		t.Fatal(refusal)
	}

	return c.Endpoint.ID
}

// start lets waiting requests take free slots.
func (r *waveRun) start(id model.EndpointID, now timekeeper.Millis) {
	q := r.queues[id]
	for q.running < r.slots && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		duration := float64(r.duration) * (0.5 + r.random.Float64())
		if q.isSlow {
			duration *= slowFactor
		}
		heap.Push(&r.running, runningRequest{endsAt: now + timekeeper.Millis(duration), gateway: w.gateway, endpoint: id})
		if w.since >= testWarmUp {
			r.waits = append(r.waits, now-w.since)
		}
	}
}

func (r *waveRun) finish(now timekeeper.Millis) {
	for len(r.running) > 0 && r.running[0].endsAt <= now {
		id := r.running[0].endpoint
		r.queues[id].running--
		r.finishNext()
		r.start(id, now)
	}
}

// arrive sends the clumps that arrive in a millisecond.
func (r *waveRun) arrive(t testing.TB, now timekeeper.Millis) {
	t.Helper()
	rate := float64(r.perSecond) * (1 + waveSwing*math.Sin(2*math.Pi*float64(now)/float64(waveTime)))
	clumps := rate / clumpSize / float64(timekeeper.Second)
	for ; r.random.Float64() < clumps; clumps-- {
		for range clumpSize {
			g := r.random.IntN(r.gateways)
			id := r.choose(t, g, now)
			r.balancers[g].RecordStart(id, now)
			r.loads[id]++
			q := r.queues[id]
			q.waiting = append(q.waiting, waitingRequest{gateway: g, since: now})
			r.start(id, now)
		}
	}
}

// observe adds up the loads, and at the end of a window what they say of evenness.
func (r *waveRun) observe(now timekeeper.Millis) {
	idle, queues := 0, 0
	for id, q := range r.queues {
		q.loadTime += r.loads[id]
		if r.loads[id] == 0 {
			idle++
		}
		queues += min(len(q.waiting), 1)
	}
	if now >= testWarmUp {
		r.samples++
		r.idle += float64(idle*min(queues, 1)) / float64(len(r.queues))
	}
	if now%unevenWindow != 0 {
		return
	}
	largest, sum := 0, 0
	for _, q := range r.queues {
		largest, sum = max(largest, q.loadTime), sum+q.loadTime
		q.loadTime = 0
	}
	if now >= testWarmUp && sum > 0 {
		r.windows++
		r.unevenness += float64(largest*len(r.queues)) / float64(sum)
	}
}

func (r *waveRun) slowOthers(now timekeeper.Millis) {
	if now%slowTime != 0 {
		return
	}
	for _, e := range r.view.Endpoints(testService) {
		r.queues[e.ID].isSlow = r.random.IntN(slowEach) == 0
	}
}

func (r *waveRun) play(t testing.TB, each func(now timekeeper.Millis)) evenness {
	t.Helper()
	for now := timekeeper.Millis(1); now < waveEnd; now++ {
		r.slowOthers(now)
		r.finish(now)
		r.gossip(now)
		r.arrive(t, now)
		r.observe(now)
		each(now)
	}
	slices.Sort(r.waits)
	waited := len(r.waits) - slices.IndexFunc(r.waits, func(w timekeeper.Millis) bool { return w > 0 })
	if r.waits[len(r.waits)-1] == 0 {
		waited = 0
	}

	return evenness{
		busiestOverMean: r.unevenness / float64(r.windows),
		idleShare:       r.idle / float64(r.samples),
		waitShare:       float64(waited) / float64(len(r.waits)),
		late:            r.waits[len(r.waits)*99/100],
	}
}

// restart replaces a gateway by one that knows no loads; the requests of the one before go on.
func (r *waveRun) restart(g int) {
	old := r.balancers[g]
	r.balancers[g] = NewBalancer(testMultiple, "gateway-new", old.domain, budgeter.NewMembership("gateway-new", nil, 0))
	r.balancers[g].Random = old.Random
}

// remove takes an endpoint out of the list; what runs and waits there is served.
func (r *waveRun) remove(id model.EndpointID) {
	left := slices.DeleteFunc(slices.Clone(r.view.Endpoints(testService)), func(e *cataloguer.Endpoint) bool { return e.ID == id })
	r.view = cataloguer.NewView(r.view.Configuration, nil, left, 0)
	r.ids = slices.DeleteFunc(r.ids, func(other model.EndpointID) bool { return other == id })
}
