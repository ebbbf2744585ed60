package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// enoughHolders is the number of holders of a part from which other gateways are told of no further one: one to fetch the part from, and
// another if that ends.
const enoughHolders = 2

// recordPlacement records that an endpoint processes the shared parts of a prompt, and queues for other gateways what they need to
// know. It returns the parts that the endpoint was not known to hold.
//
// Load that it answers: the first parts of prompts are shared by many sessions and come to lie at all endpoints of a service. To tell each
// of these placements would take the bytes that gateways may exchange from the placements of sessions, which lie at one endpoint.
func (b *Balancer) recordPlacement(v *cataloguer.View, r Request, e *cataloguer.Endpoint, now timekeeper.Millis) []locator.PartHash {
	var newParts []locator.PartHash
	for _, p := range r.SharedParts {
		part := locator.HashPart(p.ID)
		hasEnough := b.countSources(v, b.holders.Holders(part, now), e) >= enoughHolders
		if !b.holders.Record(part, e.ID, now) {
			continue
		}
		newParts = append(newParts, part)
		if !hasEnough {
			b.PlacementLog.Add(locator.Placement{Part: part, Endpoint: e.ID, Tokens: p.Tokens})
		}
	}

	return newParts
}

// RecordAttemptEnd corrects what the choice of an endpoint has recorded, once the attempt there has ended. An endpoint that has not begun to
// answer has not processed the prompt: others must neither be sent there for it nor fetch it from there. Nor has the process that has
// started meanwhile under the ID of one that has answered.
func (b *Balancer) RecordAttemptEnd(v *cataloguer.View, r Request, c Choice, hasBegun bool, now timekeeper.Millis) {
	if hasBegun {
		if b.state(c.Endpoint.ID).listed == c.Endpoint.Process() {
			b.recordPlacement(v, r, c.Endpoint, now)
		}

		return
	}
	for _, part := range c.newParts {
		b.holders.Forget(part, c.Endpoint.ID)
		b.PlacementLog.Withdraw(part, c.Endpoint.ID)
	}
}

// followProcess takes note of a process that has started under the ID of another one, whose prompts it does not hold.
func (b *Balancer) followProcess(s *endpointState, e *cataloguer.Endpoint, now timekeeper.Millis) {
	if s.listed == e.Process() {
		return
	}
	if s.listed.ID != "" {
		b.holders.RecordEmpty(e.ID, min(e.RunningSince, now), now)
	}
	s.listed = e.Process()
}

// countSources returns how many of the endpoints are reachable and run the software of an endpoint, which can fetch from these.
func (b *Balancer) countSources(v *cataloguer.View, ids []model.EndpointID, e *cataloguer.Endpoint) int {
	n := 0
	for _, id := range ids {
		if other := v.Endpoint(id); other != nil && b.canFetch(e, other) {
			n++
		}
	}

	return n
}

// canFetch reports whether an endpoint can fetch cached parts from another one.
func (b *Balancer) canFetch(e, source *cataloguer.Endpoint) bool {
	return e.Software == source.Software && b.state(source.ID).breaker.IsClosed()
}
