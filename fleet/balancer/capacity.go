package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Capacity returns the number of a service's endpoints that can take requests, their slots, and how many of these are taken as far as this
// gateway knows. Slots is zero if those of an endpoint are not known.
func (b *Balancer) Capacity(v *cataloguer.View, id model.ServiceID, now timekeeper.Millis) (endpoints, slots, taken int) {
	isKnown := true
	for _, e := range v.Endpoints(id) {
		if !v.CanTakeWork(e) || b.HasLeft(e, now) || !b.state(e.ID).breaker.IsClosed() {
			continue
		}
		endpoints++
		isKnown = isKnown && e.Slots > 0
		slots += e.Slots
		taken += min(b.Load(e.ID), e.Slots)
	}
	if !isKnown {
		slots = 0
	}

	return endpoints, slots, taken
}
