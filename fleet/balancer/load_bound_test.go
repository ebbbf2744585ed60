package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// runningRequest is a request that ends at a known time.
type runningRequest struct {
	endsAt   timekeeper.Millis
	gateway  int
	endpoint model.EndpointID
}

// requestHeap orders running requests by their end.
type requestHeap []runningRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(x, y int) bool { return h[x].endsAt < h[y].endsAt }
func (h requestHeap) Swap(x, y int)      { h[x], h[y] = h[y], h[x] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(runningRequest)) }
func (h *requestHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]

	return last
}

// fleetLoad describes the load of a simulated fleet: gateways that send requests to domains * perDomain engines.
type fleetLoad struct {
	gateways, domains, perDomain, sessions int
	// perSecond is the request rate of the fleet, duration the mean running time of a request.
	perSecond int
	duration  timekeeper.Millis
	// hotShare is the share of the requests that belong to one session.
	hotShare float64
	// surge is a load that comes on top for a time.
	surge surge
	seed  uint64
	// slowGossip is how many times rarer than today's gossip is, zero for once.
	slowGossip int
	// isWhole is true if no failure domain is out.
	isWhole bool
	// isAlike is true if the gateways do not spread requests.
	isAlike bool
}

// gossipInterval returns the time in ms between gossip exchanges of a gateway.
func (l fleetLoad) gossipInterval() int { return testGossipInterval * max(l.slowGossip, 1) }

const (
	// testGossipInterval is the time in ms between gossip exchanges of a gateway, testReportBytes the room for load reports.
	// Both are the values of a real gateway.
	testGossipInterval = 125
	testReportBytes    = 140
	// The operators' bound: an endpoint runs at most testMultiple times the mean load plus testSlack, except for testOverShare
	// of the requests.
	testMultiple  = 2
	testSlack     = 3
	testOverShare = 0.03
)

const (
	// Requests over the bound are counted from testWarmUp to testEnd.
	testWarmUp = 5 * timekeeper.Second
	testEnd    = 15 * timekeeper.Second
	// hotSession is the session that hotShare of the requests belong to.
	hotSession = 1 << 32
)

// sessionAt is a session at an endpoint that has processed its prompt.
type sessionAt struct {
	session  uint64
	endpoint model.EndpointID
}

// fleetRun is a simulation of a fleetLoad.
type fleetRun struct {
	fleetLoad
	view       *cataloguer.View
	random     *rand.Rand
	popularity *rand.Zipf
	balancers  []*Balancer
	running    requestHeap
	loads      map[model.EndpointID]int
	// silent is the number of gateways, the first ones, that exchange no reports.
	silent int

	// prefills counts the requests whose endpoint had not processed their session's prompt before, as cached holds it.
	overBound, counted, prefills int
	cached                       map[sessionAt]bool
}

func newFleetRun(l fleetLoad) *fleetRun {
	random := rand.New(rand.NewPCG(l.seed, 1))
	out := []model.DomainID{"d-1"}
	if l.isWhole {
		out = nil
	}
	r := &fleetRun{
		fleetLoad:  l,
		view:       newView(l.domains, l.perDomain, out...),
		random:     random,
		popularity: rand.NewZipf(random, 1.1, 100, uint64(max(l.sessions-1, 0))),
		loads:      map[model.EndpointID]int{},
		cached:     map[sessionAt]bool{},
	}
	for g := range l.gateways {
		r.balancers = append(r.balancers, l.newBalancer(g))
	}

	return r
}

// newBalancer returns the balancer of a gateway that has just started.
func (l fleetLoad) newBalancer(gateway int) *Balancer {
	name := fmt.Sprintf("gateway-%d", gateway)
	domain := model.DomainID(fmt.Sprintf("d-%d", gateway%l.domains))
	b := NewBalancer(testMultiple, name, domain, budgeter.NewMembership(name, nil, 0))
	if !l.isAlike {
		b.Random = rand.New(rand.NewPCG(l.seed, uint64(2+gateway))).Float64
	}

	return b
}

// finishRequests ends the requests that are due by now.
func (r *fleetRun) finishRequests(now timekeeper.Millis) {
	for len(r.running) > 0 && r.running[0].endsAt <= now {
		r.finishNext()
	}
}

// finishNext ends the request that is due first.
func (r *fleetRun) finishNext() {
	e := heap.Pop(&r.running).(runningRequest)
	r.balancers[e.gateway].RecordFinish(e.endpoint)
	r.loads[e.endpoint]--
}

// gossip lets each gateway that is due exchange load reports with its next peer.
func (r *fleetRun) gossip(now timekeeper.Millis) {
	interval := r.gossipInterval()
	for g, x := range r.balancers {
		if (int(now)+g*interval/r.gateways)%interval != 0 {
			continue
		}
		x.ExpireReports(now)
		step := 1 + int(now)/interval%(r.gateways-1)
		if other := (g + step) % r.gateways; min(g, other) >= r.silent {
			exchangeReports(x, r.balancers[other], now)
		}
	}
}

// send starts a request at a random gateway and counts it as over the bound if its endpoint then is.
func (r *fleetRun) send(t *testing.T, now timekeeper.Millis) {
	t.Helper()
	g := r.random.IntN(r.gateways)
	session := 1 + r.popularity.Uint64()
	if r.random.Float64() < r.hotShare {
		session = hotSession
	}
	if r.surge.isOn(now) && r.random.IntN(r.perSecond+r.surge.perSecond) < r.surge.perSecond {
		session = hotSession + uint64(r.random.IntN(r.surge.sessions))
	}
	c, refusal := r.balancers[g].Choose(r.view, Request{Service: testService, Session: session}, now)
	if refusal != nil {
		t.Fatal(refusal)
	}
	id := c.Endpoint.ID
	key := sessionAt{session, id}
	cached := r.cached[key]
	r.cached[key] = true
	r.balancers[g].RecordStart(id, now)
	r.loads[id]++
	duration := r.duration/2 + timekeeper.Millis(r.random.Int64N(int64(r.duration)))
	heap.Push(&r.running, runningRequest{endsAt: now + duration, gateway: g, endpoint: id})
	if now < max(testWarmUp, r.surge.counted) {
		return
	}
	r.counted++
	if !cached {
		r.prefills++
	}
	if mean := float64(len(r.running)) / float64(r.domains*r.perDomain); float64(r.loads[id]) > testMultiple*mean+testSlack {
		r.overBound++
	}
}

// play simulates the load and returns the share of requests that took an endpoint over the operators' bound, and the share of those whose
// prompt had to be read.
func (l fleetLoad) play(t *testing.T) (overShare, prefillShare float64) {
	t.Helper()
	r := newFleetRun(l)
	due := 0
	for now := timekeeper.Millis(1); now < testEnd; now++ {
		r.finishRequests(now)
		if now == l.surge.restart {
			r.restartGateways()
		}
		r.gossip(now)
		for due += l.rate(now); due >= int(timekeeper.Second); due -= int(timekeeper.Second) {
			r.send(t, now)
		}
	}

	return float64(r.overBound) / float64(r.counted), float64(r.prefills) / float64(r.counted)
}

// exchangeReports lets two gateways send each other their load reports.
func exchangeReports(x, y *Balancer, now timekeeper.Millis) {
	toY, toX := x.ReportsFor(y.self, testReportBytes, now), y.ReportsFor(x.self, testReportBytes, now)
	for _, r := range toY {
		y.MergeReport(r, now)
	}
	for _, r := range toX {
		x.MergeReport(r, now)
	}
}

func checkOverShare(t *testing.T, l fleetLoad) {
	t.Helper()
	for l.seed = range uint64(3) {
		share, prefills := l.play(t)
		t.Logf("%d gateways, %d requests/s, seed %d: %.2f %% over the load bound, %.1f %% of the prompts read", l.gateways, l.perSecond, l.seed,
			100*share, 100*prefills)
		if share > testOverShare {
			t.Errorf("%d gateways, %d requests/s, seed %d: %.1f %% of the requests took an endpoint over the load bound",
				l.gateways, l.perSecond, l.seed, 100*share)
		}
	}
}

// Guards against a load bound that each gateway keeps by itself while the fleet exceeds it: many gateways with few requests
// each, while one failure domain is out.
func TestManyGatewaysKeepTheLoadBound(t *testing.T) {
	for _, isAlike := range []bool{false, true} {
		checkOverShare(t, fleetLoad{gateways: 7, domains: 3, perDomain: 4, sessions: 150, perSecond: 60, duration: 800, isAlike: isAlike})
		checkOverShare(t, fleetLoad{gateways: 30, domains: 4, perDomain: 14, sessions: 700, perSecond: 280, duration: 900, isAlike: isAlike})
		checkOverShare(t, fleetLoad{gateways: 60, domains: 5, perDomain: 24, sessions: 3000, perSecond: 600, duration: 900, isAlike: isAlike})
	}
}

// The bound also has to hold for requests that end before other gateways learn of them.
func TestManyGatewaysKeepTheLoadBoundWithShortRequests(t *testing.T) {
	checkOverShare(t, fleetLoad{gateways: 30, domains: 4, perDomain: 14, sessions: 700, perSecond: 280, duration: 400})
}

// Guards against endpoints that hold too much because the counts of very many gateways are seconds old.
func TestVeryManyGatewaysKeepTheLoadBound(t *testing.T) {
	checkOverShare(t, fleetLoad{gateways: 103, domains: 6, perDomain: 30, sessions: 1700, perSecond: 500, duration: 500})
	checkOverShare(t, fleetLoad{gateways: 103, domains: 6, perDomain: 30, sessions: 1700, perSecond: 950, duration: 900})
	checkOverShare(t, fleetLoad{gateways: 103, domains: 6, perDomain: 30, sessions: 1700, perSecond: 1000, duration: 300, hotShare: 0.1})
}
