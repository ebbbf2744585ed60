package gateway

import (
	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/locator"
)

// placementsFor returns the encoded placements not sent to a gateway yet, and the number of the first one after them.
func (p *peers) placementsFor(address string) ([]byte, uint64) {
	p.mu.Lock()
	from := uint64(0)
	if other, ok := p.byAddress[address]; ok {
		from = other.nextPlacement
	}
	p.mu.Unlock()
	limit := maxPlacements
	if p.areMessagesShort() {
		limit = shortPlacements
	}
	var unsent []locator.Placement
	next := from
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		unsent, next = b.PlacementLog.Since(from, limit)
	})

	return encodePlacements(unsent), next
}

// markPlacementsSent records that all placements before the number next count as sent to a gateway.
func (p *peers) markPlacementsSent(address string, next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.byAddress[address]; ok {
		other.nextPlacement = max(other.nextPlacement, next)
	}
}

// applyPlacements passes placements received from another gateway to the balancer.
func (p *peers) applyPlacements(encoded []byte) {
	placements := decodePlacements(encoded)
	if len(placements) == 0 {
		return
	}
	p.gateway.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		for _, placement := range placements {
			b.MergePlacement(placement.part, placement.endpoint, p.gateway.clock.Now())
		}
	})
}
