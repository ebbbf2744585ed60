package balancer

import (
	"math"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// loadFloor is the count below which no endpoint is called overloaded.
	loadFloor = 2
	// coldWait and emptyWait are when a caller may come back: for a share of a cold endpoint, or for any endpoint.
	coldWait  = 300 * timekeeper.Millis(1)
	emptyWait = 500 * timekeeper.Millis(1)
)

// candidate is an endpoint that may be given the request.
type candidate struct {
	endpoint *cataloguer.Endpoint
	load     int
	score    uint64
}

// Choose returns the endpoint for a request, or a refusal of what did not run.
func (b *Balancer) Choose(v *cataloguer.View, q Query, now timekeeper.Millis) (Choice, *model.Refusal) {
	service := v.Configuration.Services[q.Service]
	x := b.survey(v, service, q, now)
	if len(x.candidates) == 0 {
		return Choice{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint of "+string(q.Service)+" can take the request").
			WithRetryAfter(x.wait)
	}
	if c := b.sample(x, q, now); c != nil {
		return *c, nil
	}
	if !service.IsEngine || q.Session == 0 {
		return b.byLoad(x), nil
	}
	c := b.bySession(x, q, now)
	c.Reads = !contains(b.located.Holders(locator.HashPart(q.Session), now), c.Endpoint.ID)
	c.Source = b.source(v, q, c.Endpoint, now)
	b.place(q, c.Endpoint.ID, now)

	return c, nil
}

// place remembers that an endpoint reads the shared parts of a prompt, and has what is news told to other gateways.
func (b *Balancer) place(q Query, id model.EndpointID, now timekeeper.Millis) {
	for _, p := range q.Shared {
		part := locator.HashPart(p.ID)
		if b.located.Record(part, id, now) {
			b.Journal.Add(locator.Placement{Part: part, Endpoint: id})
		}
	}
}

// survey is what a choice sees of a service.
type survey struct {
	candidates []candidate
	// doubted are endpoints that fail more requests than others do.
	doubted []candidate
	// mean counts endpoints that take no new work too, as the operators' bound does.
	mean float64
	// wait is when coming back may help if there is no candidate.
	wait timekeeper.Millis
}

func (b *Balancer) survey(v *cataloguer.View, s cataloguer.Service, q Query, now timekeeper.Millis) survey {
	known := v.Endpoints(q.Service)
	x := survey{candidates: make([]candidate, 0, len(known)), wait: emptyWait}
	var blocked []candidate
	sharers := b.Roster.Sharers(now)
	connections := connectionShare(s, len(b.Roster.Known()))
	total := 0
	for _, e := range known {
		m := b.member(e.ID)
		c := candidate{endpoint: e, load: m.running + m.remote, score: hasher.Mix(q.Session ^ m.seed)}
		total += c.load
		if !v.CanTakeWork(e) || contains(q.Tried, e.ID) || m.running >= connections {
			continue
		}
		if e.ColdUntil > now && !b.colds.Room(e.ID, b.colds.Share(e.ID, s.MaxColdRequestsPerSecond, sharers), now) {
			x.wait = coldWait

			continue
		}
		switch {
		case !m.breaker.IsClosed():
			blocked = append(blocked, c)
		case b.Grades.Doubted(e.ID, now):
			x.doubted = append(x.doubted, c)
		default:
			x.candidates = append(x.candidates, c)
		}
	}
	x.mean = float64(total) / float64(max(len(known), 1))
	// A doubtful endpoint is better than a certain refusal.
	if len(x.candidates) == 0 {
		x.candidates, x.doubted = x.doubted, nil
	}
	if len(x.candidates) == 0 {
		x.candidates = blocked
	}

	return x
}

// connectionShare is the number of connections that this gateway may hold to each endpoint of a service.
func connectionShare(s cataloguer.Service, gateways int) int {
	if s.MaxConnections <= 0 {
		return math.MaxInt
	}

	return max(s.MaxConnections/max(gateways, 1), 1)
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
func (b *Balancer) bySession(x survey, q Query, now timekeeper.Millis) Choice {
	cs := x.candidates
	limit := int(b.boundShare(now)*b.multiple*x.mean) + loadFloor
	holders := b.located.Holders(locator.HashPart(q.Session), now)
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
	for _, o := range choices {
		if c := first(cs, o.fits); c != nil {
			return Choice{Endpoint: c.endpoint, Reason: o.reason, Load: c.load, Mean: x.mean}
		}
	}

	return b.byLoad(x)
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
func (b *Balancer) byLoad(x survey) Choice {
	cs := x.candidates
	best := 0
	for i := range cs {
		if b.before(&cs[i], &cs[best]) {
			best = i
		}
	}

	return Choice{Endpoint: cs[best].endpoint, Reason: ReasonLoad, Load: cs[best].load, Mean: x.mean}
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
