package balancer

import (
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadFloor is the count below which no endpoint is called overloaded.
	loadFloor = 2
	// reportLifetime is how long the counts of another gateway are believed.
	reportLifetime = 3 * timekeeper.Second
	// rememberedSessions bounds the memory of sessions, at about 100 bytes each.
	rememberedSessions = 20_000
	// sessionLifetime is how long a cached prompt is expected to stay with its endpoint.
	sessionLifetime = timekeeper.Minute
	// settled is the age of an endpoint after which its sessions are expected to have reached it.
	settled = 20 * timekeeper.Second
)

// Reason says why an endpoint was chosen.
type Reason string

// The reasons of a choice.
const (
	ReasonNear    Reason = "near-holder"
	ReasonSession Reason = "session"
	ReasonSpill   Reason = "spill"
	ReasonLoad    Reason = "load"
)

// Terms are the bounds that a balancer keeps.
type Terms struct {
	// LoadMultiple is the largest allowed multiple of the mean load of a service.
	LoadMultiple float64
	// ColdOvershoot and ColdSlack widen what a service declares for endpoints in a cold start.
	ColdOvershoot float64
	ColdSlack     float64
}

// Query is what a choice depends on.
type Query struct {
	Service model.ServiceID
	// Session is the last shared part of the prompt, zero for none.
	Session uint64
	// Shared are the parts of the prompt that endpoints may have cached, in order; the last is the session.
	Shared []model.PromptPart
	// Tried are the endpoints that have failed this request.
	Tried []model.EndpointID
}

// Choice is a chosen endpoint with the figures that decided.
type Choice struct {
	Endpoint *cataloguer.Endpoint
	Reason   Reason
	Load     int
	Mean     float64
	// Reads is true when the endpoint is not known to hold the session's prompt, so that this request has it read.
	Reads bool
	// Source is an endpoint that seems to hold the session's prompt which the chosen one lacks, or nil.
	Source *cataloguer.Endpoint
}

// member is what a gateway knows of one endpoint beyond its entry.
type member struct {
	seed    uint64
	running int
	breaker retrier.Breaker
}

// Balancer holds the state behind the choices of one gateway.
type Balancer struct {
	// Roster are the gateways that sums are shared with.
	Roster *budgeter.Roster
	// Journal holds the placements that other gateways are to be told of.
	Journal locator.Journal

	terms   Terms
	domain  model.DomainID
	colds   *budgeter.Colds
	members map[model.EndpointID]*member
	located *locator.Locator
	reports map[string]report
}

type report struct {
	at      timekeeper.Millis
	running map[model.EndpointID]int
}

// NewBalancer returns the balancer of a gateway at an address in a failure domain.
func NewBalancer(t Terms, self string, d model.DomainID, r *budgeter.Roster) *Balancer {
	return &Balancer{
		Roster:  r,
		terms:   t,
		domain:  d,
		colds:   budgeter.NewColds(self),
		members: map[model.EndpointID]*member{},
		located: locator.NewLocator(rememberedSessions, sessionLifetime),
		reports: map[string]report{},
	}
}

func (b *Balancer) member(id model.EndpointID) *member {
	m, ok := b.members[id]
	if !ok {
		m = &member{seed: xxhash.Sum64String(string(id))}
		b.members[id] = m
	}

	return m
}

// Report takes the running counts of another gateway.
func (b *Balancer) Report(gateway string, running map[model.EndpointID]int, now timekeeper.Millis) {
	b.reports[gateway] = report{at: now, running: running}
}

// Learn takes placements of another gateway.
func (b *Balancer) Learn(ps []locator.Placement, now timekeeper.Millis) {
	for _, p := range ps {
		b.located.Note(p.Part, p.Endpoint, now)
	}
}

// Running returns this gateway's own running counts.
func (b *Balancer) Running() map[model.EndpointID]int {
	running := map[model.EndpointID]int{}
	for id, m := range b.members {
		if m.running > 0 {
			running[id] = m.running
		}
	}

	return running
}

// Load returns the running requests of an endpoint over all gateways that have reported lately.
func (b *Balancer) Load(id model.EndpointID, now timekeeper.Millis) int {
	load := b.member(id).running
	for _, r := range b.reports {
		if now-r.at < reportLifetime {
			load += r.running[id]
		}
	}

	return load
}

// Start notes a request that is sent to an endpoint.
func (b *Balancer) Start(id model.EndpointID, now timekeeper.Millis) {
	m := b.member(id)
	m.running++
	b.colds.Sent(id, now)
}

// Finish notes the end of a request at an endpoint.
func (b *Balancer) Finish(id model.EndpointID) {
	m := b.member(id)
	m.running = max(0, m.running-1)
}

// Succeed notes that an endpoint has answered.
func (b *Balancer) Succeed(id model.EndpointID) {
	b.member(id).breaker.Succeed()
}

// Fail notes that an endpoint could not be reached or fell silent.
func (b *Balancer) Fail(id model.EndpointID, now timekeeper.Millis) {
	b.member(id).breaker.Fail(now)
}

// Due returns blocked endpoints that are to be probed now; each stays blocked until Succeed, and Fail ends the probe.
func (b *Balancer) Due(v *cataloguer.View, now timekeeper.Millis) []*cataloguer.Endpoint {
	var due []*cataloguer.Endpoint
	for id, m := range b.members {
		if e := v.Endpoint(id); e != nil && m.breaker.Due(now) {
			m.breaker.Start(now)
			due = append(due, e)
		}
	}

	return due
}

// Keep forgets endpoints that are neither known nor in use.
func (b *Balancer) Keep(known func(model.EndpointID) bool) {
	for id, m := range b.members {
		if m.running == 0 && !known(id) {
			delete(b.members, id)
		}
	}
	b.colds.Keep(known)
}

// candidate is an endpoint that may be given the request.
type candidate struct {
	endpoint *cataloguer.Endpoint
	load     int
	score    uint64
}

// Choose returns the endpoint for a request, or a refusal of what did not run.
func (b *Balancer) Choose(v *cataloguer.View, q Query, now timekeeper.Millis) (Choice, *model.Refusal) {
	service := v.Configuration.Services[q.Service]
	known := v.Endpoints(q.Service)
	candidates, wait := b.candidates(v, known, service, q, now)
	if len(candidates) == 0 {
		return Choice{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint of "+string(q.Service)+" can take the request").
			WithRetryAfter(wait)
	}
	if service.Engine && q.Session != 0 {
		c := b.bySession(candidates, q, b.meanLoad(known, now), now)
		c.Reads = !contains(b.located.Holders(q.Session, now), c.Endpoint.ID)
		c.Source = b.source(v, known, q, c.Endpoint, now)
		for _, p := range q.Shared {
			if b.located.Note(p.ID, c.Endpoint.ID, now) {
				b.Journal.Add(locator.Placement{Part: p.ID, Endpoint: c.Endpoint.ID})
			}
		}

		return c, nil
	}

	return b.byLoad(candidates, b.meanLoad(known, now)), nil
}

// source finds where the chosen endpoint can fetch what it lacks of the prompt: at a holder of the longest known part.
func (b *Balancer) source(v *cataloguer.View, known []*cataloguer.Endpoint, q Query, chosen *cataloguer.Endpoint, now timekeeper.Millis) *cataloguer.Endpoint {
	for i := len(q.Shared) - 1; i >= 0; i-- {
		holders := b.located.Holders(q.Shared[i].ID, now)
		if contains(holders, chosen.ID) {
			return nil
		}
		if e := b.firstReachable(v, holders); e != nil {
			return e
		}
		if q.Shared[i].ID != q.Session {
			continue
		}
		if e := b.likelySource(known, q.Session, chosen, now); e != nil {
			return e
		}
	}

	return nil
}

func (b *Balancer) firstReachable(v *cataloguer.View, ids []model.EndpointID) *cataloguer.Endpoint {
	for _, id := range ids {
		if e := v.Endpoint(id); e != nil && b.member(id).breaker.Closed() {
			return e
		}
	}

	return nil
}

// likelySource guesses the holder that other gateways have used: the first settled endpoint in the session's order,
// unless that is the chosen one.
func (b *Balancer) likelySource(known []*cataloguer.Endpoint, session uint64, chosen *cataloguer.Endpoint, now timekeeper.Millis) *cataloguer.Endpoint {
	var best *cataloguer.Endpoint
	var score uint64
	for _, e := range known {
		m := b.member(e.ID)
		if now-e.Since < settled || !m.breaker.Closed() {
			continue
		}
		if s := hasher.Mix(session ^ m.seed); best == nil || s > score {
			best, score = e, s
		}
	}
	if best == chosen {
		return nil
	}

	return best
}

// meanLoad counts endpoints that take no new work too, as the operators' bound does.
func (b *Balancer) meanLoad(known []*cataloguer.Endpoint, now timekeeper.Millis) float64 {
	total := 0
	for _, e := range known {
		total += b.Load(e.ID, now)
	}

	return float64(total) / float64(max(len(known), 1))
}

const (
	coldWait  = 300 * timekeeper.Millis(1)
	emptyWait = 500 * timekeeper.Millis(1)
)

func (b *Balancer) candidates(v *cataloguer.View, known []*cataloguer.Endpoint, s cataloguer.Service, q Query, now timekeeper.Millis) ([]candidate, timekeeper.Millis) {
	candidates := make([]candidate, 0, len(known))
	var blocked []candidate
	wait := emptyWait
	for _, e := range known {
		if !v.Open(e) || contains(q.Tried, e.ID) {
			continue
		}
		m := b.member(e.ID)
		if e.ColdUntil > now && !b.colds.Room(e.ID, b.coldShare(s, e, now), now) {
			wait = coldWait

			continue
		}
		c := candidate{endpoint: e, load: b.Load(e.ID, now), score: hasher.Mix(q.Session ^ m.seed)}
		if !m.breaker.Closed() {
			blocked = append(blocked, c)
		} else {
			candidates = append(candidates, c)
		}
	}
	// A doubtful endpoint is better than a certain refusal.
	if len(candidates) == 0 {
		candidates = blocked
	}

	return candidates, wait
}

func (b *Balancer) coldShare(s cataloguer.Service, e *cataloguer.Endpoint, now timekeeper.Millis) int {
	return b.colds.Share(e.ID, s.ColdPerSecond, b.Roster.Sharers(now))
}

func contains(ids []model.EndpointID, id model.EndpointID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}

	return false
}

// bySession takes, of the endpoints within the load bound: one of the own failure domain that holds the session, else the
// first in the session's own order; if that one is over the bound, another holder, else a near endpoint.
func (b *Balancer) bySession(cs []candidate, q Query, average float64, now timekeeper.Millis) Choice {
	limit := int(b.terms.LoadMultiple*average) + loadFloor
	holders := b.located.Holders(q.Session, now)
	head := first(cs, func(*candidate) bool { return true })
	under := func(c *candidate) bool { return c.load < limit }
	near := func(c *candidate) bool { return under(c) && c.endpoint.Domain == b.domain }
	holds := func(c *candidate) bool { return under(c) && contains(holders, c.endpoint.ID) }
	choices := []struct {
		reason Reason
		fits   func(*candidate) bool
	}{
		{ReasonNear, func(c *candidate) bool { return near(c) && holds(c) }},
		{ReasonSession, func(c *candidate) bool { return under(c) && c == head }},
		{ReasonSpill, holds},
		{ReasonSpill, near},
		{ReasonSpill, under},
	}
	for _, x := range choices {
		if c := first(cs, x.fits); c != nil {
			return Choice{Endpoint: c.endpoint, Reason: x.reason, Load: c.load, Mean: average}
		}
	}

	return b.byLoad(cs, average)
}

// first returns the candidate that comes first in the session's order among those that fit, or nil.
func first(cs []candidate, fits func(*candidate) bool) *candidate {
	var best *candidate
	for i := range cs {
		c := &cs[i]
		if (best == nil || c.score > best.score) && fits(c) {
			best = c
		}
	}

	return best
}

// byLoad takes the least loaded endpoint, of the own failure domain where that costs no slot.
func (b *Balancer) byLoad(cs []candidate, average float64) Choice {
	best := 0
	for i := range cs {
		if b.before(&cs[i], &cs[best]) {
			best = i
		}
	}

	return Choice{Endpoint: cs[best].endpoint, Reason: ReasonLoad, Load: cs[best].load, Mean: average}
}

func (b *Balancer) before(x, y *candidate) bool {
	p, q := b.pressure(x), b.pressure(y)
	if p != q {
		return p < q
	}

	return x.score < y.score
}

// remoteShare of the slots may be taken at a near endpoint before a remote one is preferred.
const remoteShare = 0.5

func (b *Balancer) pressure(c *candidate) float64 {
	p := float64(c.load) / float64(max(c.endpoint.Slots, 1))
	if c.endpoint.Domain != b.domain {
		p += remoteShare
	}

	return p
}
