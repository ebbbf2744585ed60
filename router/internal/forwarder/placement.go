package forwarder

import (
	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
)

// recordPlacementResult tells the balancer at the end of an attempt whether the endpoint has processed the prompt.
func (p *proxiedRequest) recordPlacementResult(isServed bool) {
	if p.metadata.SessionID() == 0 {
		return
	}
	hasBegun := isServed || p.stream.hasEvents
	p.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		b.RecordAttemptEnd(p.view, p.balancerRequest(), p.choice, hasBegun, p.forwarder.clock.Now())
	})
}
