package balancer

import (
	"math"
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// loadSlack is added to the load bound; an endpoint with fewer running requests than this is never over the bound.
	loadSlack = 2
	// coldRetryAfter is sent if a cold endpoint has no quota left, noEndpointRetryAfter if no endpoint is available.
	coldRetryAfter       = 300 * timekeeper.Millis(1)
	noEndpointRetryAfter = 500 * timekeeper.Millis(1)
	// minLimitRetryAfter and maxLimitRetryAfter bound the Retry-After sent if endpoints take no more requests a second. Another
	// gateway, to which the caller may come, can have a larger share.
	minLimitRetryAfter = 50 * timekeeper.Millis(1)
	maxLimitRetryAfter = 2 * timekeeper.Second
)

// candidate is an endpoint that can be given the request.
type candidate struct {
	endpoint *cataloguer.Endpoint
	load     int
	// score is the rendezvous score of the endpoint for the session.
	score uint64
	// isLimited is true if the endpoint advertises the request rate that it takes, and isReserved if what is left of it is for sessions
	// whose prompt it holds.
	isLimited, isReserved bool
}

// Choose returns the endpoint for a request, or a refusal with outcome not-run if no endpoint can take it.
func (b *Balancer) Choose(v *cataloguer.View, r Request, now timekeeper.Millis) (Choice, *model.Refusal) {
	service := v.Configuration.Services[r.Service]
	set := b.candidates(v, service, r, now)
	if len(set.candidates) == 0 {
		return Choice{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint of "+string(r.Service)+" can take the request").
			WithRetryAfter(set.retryAfter)
	}
	if c := b.chooseTrial(set, r, now); c != nil {
		return *c, nil
	}
	if !service.IsEngine || r.Session == 0 {
		return b.chooseLeastLoaded(set), nil
	}
	c := b.chooseForSession(set, r, now)
	c.NeedsPrefill = !contains(b.holders.Holders(locator.HashPart(r.Session), now), c.Endpoint.ID)
	c.CacheSource = b.cacheSource(v, r, c.Endpoint, now)
	b.recordPlacement(r, c.Endpoint.ID, now)

	return c, nil
}

// recordPlacement records that an endpoint processes the shared parts of a prompt, and queues new placements for other
// gateways.
func (b *Balancer) recordPlacement(r Request, id model.EndpointID, now timekeeper.Millis) {
	for _, p := range r.SharedParts {
		part := locator.HashPart(p.ID)
		if b.holders.Record(part, id, now) {
			b.PlacementLog.Add(locator.Placement{Part: part, Endpoint: id})
		}
	}
}

// candidateSet is the input of a choice among the endpoints of a service.
type candidateSet struct {
	candidates []candidate
	// outliers get trial requests only, unless no other endpoint can take the request.
	outliers []candidate
	// meanLoad includes endpoints that take no new work, as the operators' load bound does, but not those that advertise a limit, unless
	// all do: the others carry the load that these do not take.
	meanLoad float64
	// retryAfter is how long a caller should wait before a retry if there is no candidate.
	retryAfter timekeeper.Millis
}

func (b *Balancer) candidates(v *cataloguer.View, service cataloguer.Service, r Request, now timekeeper.Millis) candidateSet {
	endpoints := v.Endpoints(r.Service)
	set := candidateSet{candidates: make([]candidate, 0, len(endpoints)), retryAfter: noEndpointRetryAfter}
	limitWait := timekeeper.Millis(math.MaxInt64)
	var blocked []candidate
	sharers := b.Membership.SettledMembers(now)
	maxRunning := connectionShare(service, len(b.Membership.Members()))
	var sum loadSum
	for _, e := range endpoints {
		s := b.state(e.ID)
		c := candidate{endpoint: e, load: s.running + s.remoteRunning, score: hasher.Mix(r.Session ^ s.seed)}
		c.isLimited = b.Limits.IsLimited(e.Process())
		sum.add(&c)
		if !v.CanTakeWork(e) || contains(r.Tried, e.ID) || s.running >= maxRunning {
			continue
		}
		if wait := b.Limits.Wait(e.Process(), sharers, now); wait > 0 {
			limitWait = min(limitWait, wait)

			continue
		}
		if e.ColdUntil > now && !b.coldStarts.HasQuota(e.ID, b.coldStarts.Share(e.ID, service.MaxColdRequestsPerSecond, sharers), now) {
			set.retryAfter = coldRetryAfter

			continue
		}
		c.isReserved = c.isLimited && !b.Limits.HasSurplus(e.Process())
		switch {
		case !s.breaker.IsClosed():
			blocked = append(blocked, c)
		case b.Outliers.IsOutlier(e.ID, now):
			set.outliers = append(set.outliers, c)
		default:
			set.candidates = append(set.candidates, c)
		}
	}
	set.meanLoad = sum.mean()
	// Outliers, then endpoints with an open breaker, are the last resort: the request may still succeed there.
	if len(set.candidates) == 0 {
		set.candidates, set.outliers = set.outliers, nil
	}
	if len(set.candidates) == 0 {
		set.candidates = blocked
	}
	// What endpoints that advertise a limit do not take must not overrun the others.
	if limitWait < math.MaxInt64 {
		set.retryAfter = min(max(limitWait, minLimitRetryAfter), maxLimitRetryAfter)
		set.candidates = slices.DeleteFunc(set.candidates, isFull)
	}

	return set
}

// loadSum adds up the loads of endpoints, those that advertise a limit apart.
type loadSum struct {
	load, endpoints               int
	limitedLoad, limitedEndpoints int
}

func (s *loadSum) add(c *candidate) {
	if c.isLimited {
		s.limitedLoad += c.load
		s.limitedEndpoints++

		return
	}
	s.load += c.load
	s.endpoints++
}

// mean returns the mean load of the endpoints without a limit or, if all advertise one, of all.
func (s *loadSum) mean() float64 {
	if s.endpoints > 0 {
		return float64(s.load) / float64(s.endpoints)
	}

	return float64(s.limitedLoad) / float64(max(s.limitedEndpoints, 1))
}

// isFull reports whether all slots of an endpoint are known to be in use.
func isFull(c candidate) bool {
	return c.endpoint.Slots > 0 && c.load >= c.endpoint.Slots
}

// connectionShare returns the number of connections that this gateway may hold to each endpoint of a service.
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

// chooseForSession returns the first match among the endpoints within the load bound: a holder of the session's prompt in
// the gateway's own failure domain, the endpoint ranked first for the session, another holder, an endpoint of the own
// failure domain, any endpoint, an endpoint that advertises a limit. Such an endpoint is ranked first for sessions whose prompt it
// holds or nobody does, so that its few requests spare as much prefill as they can; for others only while it has a surplus. If
// all are over the bound, it returns the least loaded endpoint.
func (b *Balancer) chooseForSession(set candidateSet, r Request, now timekeeper.Millis) Choice {
	cs := set.candidates
	limit := int(b.usableBoundShare(now)*b.loadMultiple*set.meanLoad) + loadSlack
	holders := b.holders.Holders(locator.HashPart(r.Session), now)
	preferred := highestScore(cs, func(c *candidate) bool {
		return !c.isReserved || len(holders) == 0 || contains(holders, c.endpoint.ID)
	})
	isWithinBound := func(c *candidate) bool { return c.load < limit }
	isLocal := func(c *candidate) bool { return isWithinBound(c) && c.endpoint.Domain == b.domain }
	isHolder := func(c *candidate) bool { return isWithinBound(c) && contains(holders, c.endpoint.ID) }
	rules := []struct {
		reason  Reason
		matches func(*candidate) bool
	}{
		{ReasonLocalHolder, func(c *candidate) bool { return isLocal(c) && isHolder(c) }},
		{ReasonSessionAffinity, func(c *candidate) bool { return isWithinBound(c) && c == preferred }},
		{ReasonSpillover, isHolder},
		{ReasonSpillover, func(c *candidate) bool { return isLocal(c) && !c.isLimited }},
		{ReasonSpillover, func(c *candidate) bool { return isWithinBound(c) && !c.isLimited }},
		{ReasonSpillover, isWithinBound},
	}
	for _, rule := range rules {
		if c := highestScore(cs, rule.matches); c != nil {
			return Choice{Endpoint: c.endpoint, Reason: rule.reason, Load: c.load, MeanLoad: set.meanLoad}
		}
	}

	return b.chooseLeastLoaded(set)
}

// highestScore returns the matching candidate with the highest rendezvous score, or nil.
func highestScore(cs []candidate, matches func(*candidate) bool) *candidate {
	var best *candidate
	for i := range cs {
		c := &cs[i]
		if (best == nil || c.score > best.score) && matches(c) {
			best = c
		}
	}

	return best
}

// chooseLeastLoaded returns the endpoint with the lowest cost.
func (b *Balancer) chooseLeastLoaded(set candidateSet) Choice {
	cs := set.candidates
	best := 0
	for i := range cs {
		if b.isCheaper(&cs[i], &cs[best]) {
			best = i
		}
	}

	return Choice{Endpoint: cs[best].endpoint, Reason: ReasonLeastLoaded, Load: cs[best].load, MeanLoad: set.meanLoad}
}

func (b *Balancer) isCheaper(x, y *candidate) bool {
	p, q := b.cost(x), b.cost(y)
	if p != q {
		return p < q
	}

	return x.score < y.score
}

// crossDomainCost is the share of its slots that may be in use at a local endpoint before an idle endpoint of another
// failure domain is preferred.
const crossDomainCost = 0.5

// cost returns the share of an endpoint's slots that is in use, plus a penalty for another failure domain.
func (b *Balancer) cost(c *candidate) float64 {
	p := float64(c.load) / float64(max(c.endpoint.Slots, 1))
	if c.endpoint.Domain != b.domain {
		p += crossDomainCost
	}

	return p
}
