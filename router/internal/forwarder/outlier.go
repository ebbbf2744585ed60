package forwarder

import (
	"context"
	"errors"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
)

// recordResult reports the result of the request at the chosen endpoint to outlier detection.
func (p *proxiedRequest) recordResult(hasFailed bool) {
	p.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		b.Outliers.RecordResult(p.service, p.choice.Endpoint.ID, hasFailed, p.forwarder.clock.Now())
	})
}

// recordIncompleteResponse records a missing or truncated response as a failure of the endpoint, unless the caller has
// disconnected.
func (p *proxiedRequest) recordIncompleteResponse() {
	if err := p.ctx.Err(); err == nil || errors.Is(err, context.DeadlineExceeded) {
		p.recordResult(true)
	}
}

// recordErrorResponse records an error response as a failure of the endpoint. If a second endpoint fails the same request,
// the request is considered to be at fault: the first failure is retracted and no further one is counted.
func (p *proxiedRequest) recordErrorResponse() {
	p.errorEndpoints = append(p.errorEndpoints, p.choice.Endpoint.ID)
	if len(p.errorEndpoints) == 1 {
		p.recordResult(true)

		return
	}
	p.recordResult(false)
	if len(p.errorEndpoints) == 2 {
		p.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
			b.Outliers.RetractFailure(p.service, p.errorEndpoints[0], p.forwarder.clock.Now())
		})
	}
}
