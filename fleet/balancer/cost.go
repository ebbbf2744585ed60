package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/estimator"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/timekeeper"
)

const (
	// clearShare is the share of the target latency within which an answer clearly meets it, so that a forecast that is somewhat off moves no
	// request from the endpoint that all gateways agree on.
	clearShare = 0.7
	// similarCost is how many times the lowest cost still counts as lowest. Among such endpoints the score decides, on which all gateways agree.
	similarCost = 1.25
)

// avoidMiss returns the given choice, or another endpoint within the load bound if the answer would begin after its target latency by the
// forecast and clearly before it there.
//
// Load that it answers: long prompts, and endpoints that are slowed for a moment by other work on their VMs. Whoever holds the prompt stays
// first as long as it answers in time: to process a prompt again costs all requests that run beside it.
func (b *Balancer) avoidMiss(v *cataloguer.View, set candidateSet, r Request, c Choice, now timekeeper.Millis) Choice {
	if !b.AvoidsMisses || r.TargetLatency <= 0 {
		return c
	}
	if _, x := b.expect(v, r, c.Endpoint, now); !x.IsKnown || x.First <= r.TargetLatency {
		return c
	}
	best := b.cheapest(v, set, r, now)
	if best == nil || best.endpoint == c.Endpoint {
		return c
	}

	return set.choice(best, ReasonCost)
}

// cheapest returns the candidate with the lowest cost among those within the load bound that clearly meet the target latency, or nil.
func (b *Balancer) cheapest(v *cataloguer.View, set candidateSet, r Request, now timekeeper.Millis) *candidate {
	limit := b.sessionBound(&set, now)
	inTime := timekeeper.Millis(clearShare * float64(r.TargetLatency))
	costs := map[*candidate]float64{}
	lowest := 0.0
	for i := range set.candidates {
		c := &set.candidates[i]
		if c.expected >= limit || c.isLimited {
			continue
		}
		_, x := b.expect(v, r, c.endpoint, now)
		if x.First > inTime {
			continue
		}
		costs[c] = placementCost(c, x)
		if len(costs) == 1 || costs[c] < lowest {
			lowest = costs[c]
		}
	}

	return highestScore(set.candidates, func(c *candidate) bool {
		cost, ok := costs[c]

		return ok && cost <= similarCost*lowest
	})
}

// placementCost returns the time until the answer begins, and the time for which its work holds up what runs at the endpoint, in
// proportion to the slots in use.
func placementCost(c *candidate, x estimator.Expectation) float64 {
	inUse := c.expected / float64(max(c.endpoint.Slots, 1))

	return float64(x.First) + float64(x.Work)*inUse
}

// expect returns what an endpoint has to do for a request, and the forecast.
func (b *Balancer) expect(v *cataloguer.View, r Request, e *cataloguer.Endpoint, now timekeeper.Millis) (estimator.Work, estimator.Expectation) {
	w := b.workOf(v, r, e, now)

	return w, b.Costs.Expect(r.Service, e.Process(), w, now)
}

// workOf returns the tokens of the prompt that an endpoint reads, and those that it can fetch. What it holds of a part it holds of all
// before it.
func (b *Balancer) workOf(v *cataloguer.View, r Request, e *cataloguer.Endpoint, now timekeeper.Millis) estimator.Work {
	w := estimator.Work{Read: r.OwnTokens}
	isFetched := false
	for i := len(r.SharedParts) - 1; i >= 0; i-- {
		holders := b.holders.Holders(locator.HashPart(r.SharedParts[i].ID), now)
		if contains(holders, e.ID) {
			break
		}
		isFetched = isFetched || b.countSources(v, holders, e) > 0
		if isFetched {
			w.Fetched += r.SharedParts[i].Tokens
		} else {
			w.Read += r.SharedParts[i].Tokens
		}
	}

	return w
}
