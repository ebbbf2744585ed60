package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// loadSlack is added to the load bound; an endpoint with fewer running requests than this is never over the bound.
const loadSlack = 2

// Choose returns the endpoint for a request, or a refusal with outcome not-run if no endpoint can take it.
func (b *Balancer) Choose(v *cataloguer.View, r Request, now timekeeper.Millis) (Choice, *model.Refusal) {
	service := v.Configuration.Services[r.Service]
	set := b.candidates(v, service, r, now)
	if len(set.candidates) == 0 {
		return Choice{}, set.obstacles.refusal(r.Service)
	}
	set.expectation.recordStart()
	if c := b.chooseTrial(set, r, now); c != nil {
		return *c, nil
	}
	if !service.IsEngine || r.Session == 0 {
		return b.chooseLeastLoaded(set), nil
	}
	c := b.avoidMiss(v, set, r, b.chooseForSession(set, r, now), now)
	c.Reports, c.ReportAge = b.ReportAge(now)
	c.NeedsPrefill = !contains(b.holders.Holders(locator.HashPart(r.Session), now), c.Endpoint.ID)
	c.CacheSource = b.cacheSource(v, r, c.Endpoint, now)
	c.Work, c.Forecast = b.expect(v, r, c.Endpoint, now)
	c.newParts = b.recordPlacement(v, r, c.Endpoint, now)

	return c, nil
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
// the gateway's own failure domain, the endpoint ranked first for the session, another holder, a roomy endpoint of the own failure domain,
// any roomy endpoint, an endpoint of the own failure domain, any endpoint, an endpoint that advertises a limit. Such an endpoint is
// ranked first for sessions whose prompt it holds or nobody does, so that its few requests spare as much prefill as they can; for others only
// while it has a surplus. If all are over the bound, it returns the least loaded endpoint.
func (b *Balancer) chooseForSession(set candidateSet, r Request, now timekeeper.Millis) Choice {
	cs := set.candidates
	limit := b.sessionBound(&set, now)
	holders := b.holders.Holders(locator.HashPart(r.Session), now)
	preferred := highestScore(cs, func(c *candidate) bool {
		return !c.isReserved || len(holders) == 0 || contains(holders, c.endpoint.ID)
	})
	isWithinBound := func(c *candidate) bool { return c.expected < limit }
	isLocal := func(c *candidate) bool { return isWithinBound(c) && c.endpoint.Domain == b.domain }
	isHolder := func(c *candidate) bool { return isWithinBound(c) && contains(holders, c.endpoint.ID) }
	rules := []struct {
		reason  Reason
		matches func(*candidate) bool
	}{
		{ReasonLocalHolder, func(c *candidate) bool { return isLocal(c) && isHolder(c) }},
		{ReasonSessionAffinity, func(c *candidate) bool { return isWithinBound(c) && c == preferred }},
		{ReasonSpillover, isHolder},
		{ReasonSpillover, func(c *candidate) bool { return isLocal(c) && b.isRoomy(&set, c) }},
		{ReasonSpillover, func(c *candidate) bool { return isWithinBound(c) && b.isRoomy(&set, c) }},
		{ReasonSpillover, func(c *candidate) bool { return isLocal(c) && !c.isLimited }},
		{ReasonSpillover, func(c *candidate) bool { return isWithinBound(c) && !c.isLimited }},
		{ReasonSpillover, isWithinBound},
	}
	for _, rule := range rules {
		if c := highestScore(cs, rule.matches); c != nil {
			return set.choice(c, rule.reason)
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

// choice returns the choice of a candidate.
func (s *candidateSet) choice(c *candidate, reason Reason) Choice {
	return Choice{Endpoint: c.endpoint, Reason: reason, Load: c.load, MeanLoad: s.meanLoad, Expected: c.expected}
}

// chooseLeastLoaded returns the endpoint with the lowest cost, or one of several.
func (b *Balancer) chooseLeastLoaded(set candidateSet) Choice {
	if b.Random != nil {
		return b.chooseSpread(set)
	}
	cs := set.candidates
	best := 0
	for i := range cs {
		if b.isCheaper(&cs[i], &cs[best]) {
			best = i
		}
	}

	return set.choice(&cs[best], ReasonLeastLoaded)
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
	p := c.expected / float64(max(c.endpoint.Slots, 1))
	if c.endpoint.Domain != b.domain {
		p += crossDomainCost
	}

	return p
}
