package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// minSourceAge is how long an endpoint must have run before it is expected to hold the prompts of its sessions.
const minSourceAge = 20 * timekeeper.Second

// cacheSource returns the endpoint from which the chosen one can fetch the longest cached part of the prompt that it lacks,
// or nil if it lacks none that another endpoint of its software version holds.
func (b *Balancer) cacheSource(v *cataloguer.View, r Request, chosen *cataloguer.Endpoint, now timekeeper.Millis) *cataloguer.Endpoint {
	for i := len(r.SharedParts) - 1; i >= 0; i-- {
		holders := b.holders.Holders(locator.HashPart(r.SharedParts[i].ID), now)
		if contains(holders, chosen.ID) {
			return nil
		}
		if e := b.firstReachable(v, holders, chosen.Software); e != nil {
			return e
		}
		if r.SharedParts[i].ID != r.Session {
			continue
		}
		if e := b.likelyHolder(v.Endpoints(r.Service), r.Session, chosen, now); e != nil {
			return e
		}
	}

	return nil
}

// firstReachable returns the first of the endpoints that is reachable and runs a software version, or nil.
func (b *Balancer) firstReachable(v *cataloguer.View, ids []model.EndpointID, software model.SoftwareVersion) *cataloguer.Endpoint {
	for _, id := range ids {
		if e := v.Endpoint(id); e != nil && e.Software == software && b.state(id).breaker.IsClosed() {
			return e
		}
	}

	return nil
}

// likelyHolder guesses which endpoint holds a session whose placement is not known here: other gateways will have sent it to
// the reachable endpoint that ranks first among those that have run for minSourceAge. It returns nil if that is the chosen endpoint, or
// one of another software version.
func (b *Balancer) likelyHolder(endpoints []*cataloguer.Endpoint, session uint64, chosen *cataloguer.Endpoint, now timekeeper.Millis) *cataloguer.Endpoint {
	var best *cataloguer.Endpoint
	var bestScore uint64
	for _, e := range endpoints {
		s := b.state(e.ID)
		if now-e.RunningSince < minSourceAge || !s.breaker.IsClosed() {
			continue
		}
		if score := hasher.Mix(session ^ s.seed); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == chosen || best != nil && best.Software != chosen.Software {
		return nil
	}

	return best
}
