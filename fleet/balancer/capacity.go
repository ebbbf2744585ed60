package balancer

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Capacity is what a gateway knows of the endpoints of a service that can take requests. Slots is zero if those of an endpoint are not known.
type Capacity struct {
	Endpoints int
	Slots     int
	// Taken is the number of slots in use, and Spare that of the requests that the endpoints take before they are full.
	Taken int
	Spare int
}

// Capacity returns the capacity of a service. An endpoint is full if its slots are taken and waitingShare of their number wait there.
func (b *Balancer) Capacity(v *cataloguer.View, id model.ServiceID, waitingShare float64, now timekeeper.Millis) Capacity {
	var c Capacity
	isKnown := true
	for _, e := range v.Endpoints(id) {
		if !v.CanTakeWork(e) || b.HasLeft(e, now) || !b.state(e.ID).breaker.IsClosed() {
			continue
		}
		load := b.Load(e.ID)
		isKnown = isKnown && e.Slots > 0
		c.Endpoints++
		c.Slots += e.Slots
		c.Taken += min(load, e.Slots)
		c.Spare += max(int((1+waitingShare)*float64(e.Slots))-load, 0)
	}
	if !isKnown {
		return Capacity{Endpoints: c.Endpoints}
	}

	return c
}
