package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// settled is the age of an endpoint after which its sessions are expected to have reached it.
const settled = 20 * timekeeper.Second

// source finds where the chosen endpoint can fetch what it lacks of the prompt: at a holder of the longest known part.
func (b *Balancer) source(v *cataloguer.View, q Query, chosen *cataloguer.Endpoint, now timekeeper.Millis) *cataloguer.Endpoint {
	for i := len(q.Shared) - 1; i >= 0; i-- {
		holders := b.located.Holders(locator.HashPart(q.Shared[i].ID), now)
		if contains(holders, chosen.ID) {
			return nil
		}
		if e := b.firstReachable(v, holders); e != nil {
			return e
		}
		if q.Shared[i].ID != q.Session {
			continue
		}
		if e := b.likelySource(v.Endpoints(q.Service), q.Session, chosen, now); e != nil {
			return e
		}
	}

	return nil
}

func (b *Balancer) firstReachable(v *cataloguer.View, ids []model.EndpointID) *cataloguer.Endpoint {
	for _, id := range ids {
		if e := v.Endpoint(id); e != nil && b.member(id).breaker.IsClosed() {
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
		if now-e.FirstSeen < settled || !m.breaker.IsClosed() {
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
