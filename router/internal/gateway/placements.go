package gateway

import (
	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/locator"
)

// placementsFor returns what another gateway has not been told, and the number of the next placement to tell.
func (p *peers) placementsFor(address string) ([]byte, uint64) {
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

	return encodePlacements(fresh), next
}

func (p *peers) told(address string, next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.known[address]; ok {
		k.told = max(k.told, next)
	}
}

func (p *peers) learnPlacements(told []byte) {
	placements := decodePlacements(told)
	if len(placements) == 0 {
		return
	}
	p.g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		for _, t := range placements {
			b.Learn(t.part, t.endpoint, p.g.clock.Now())
		}
	})
}
