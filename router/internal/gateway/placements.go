package gateway

import (
	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
)

// placementsFor returns what another gateway has not been told, and the number of the next placement to tell.
func (p *peers) placementsFor(address string) ([]*messenger.Placement, uint64) {
	p.mu.Lock()
	from := uint64(0)
	if k, ok := p.known[address]; ok {
		from = k.told
	}
	p.mu.Unlock()
	var fresh []locator.Placement
	next := from
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		fresh, next = b.Journal.Since(from, maxPlacements)
	})
	placements := make([]*messenger.Placement, 0, len(fresh))
	for _, f := range fresh {
		placements = append(placements, &messenger.Placement{Part: f.Part, Endpoint: string(f.Endpoint)})
	}

	return placements, next
}

func (p *peers) told(address string, next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.known[address]; ok {
		k.told = max(k.told, next)
	}
}

func (p *peers) learnPlacements(told []*messenger.Placement) {
	if len(told) == 0 {
		return
	}
	placements := make([]locator.Placement, 0, len(told))
	for _, t := range told {
		placements = append(placements, locator.Placement{Part: t.Part, Endpoint: model.EndpointID(t.Endpoint)})
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) { b.Learn(placements, p.g.clock.Now()) })
}
