package dispatcher

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
)

// blocked returns the indexes of the endpoints that this router holds for unreachable, nil when there are none.
func (d *Dispatcher) blocked(s *configurator.Snapshot) map[int]bool {
	now := d.follower.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var blocked map[int]bool
	for id, b := range d.breakers {
		if !b.Blocked(now) {
			continue
		}
		if blocked == nil {
			blocked = map[int]bool{}
		}
		blocked[s.IndexOf(id)] = true
	}

	return blocked
}

// startBreaker notes an attempt at an endpoint.
func (d *Dispatcher) startBreaker(id model.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, failed := d.breakers[id]; failed {
		b.Start(d.follower.Clock.Now())
	}
}

// closeBreaker forgets the failures of an endpoint that has answered.
func (d *Dispatcher) closeBreaker(id model.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, failed := d.breakers[id]; failed {
		b.Succeed()
	}
}

// failBreaker blocks an endpoint that could not be reached.
func (d *Dispatcher) failBreaker(id model.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, failed := d.breakers[id]
	if !failed {
		b = &retrier.Breaker{}
		d.breakers[id] = b
	}
	b.Fail(d.follower.Clock.Now())
}
