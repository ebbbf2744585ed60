package forwarder

import (
	"context"
	"errors"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
)

// grade notes whether the chosen endpoint has failed the request.
func (j *job) grade(failed bool) {
	j.f.Update(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		b.Outliers.RecordResult(j.service, j.choice.Endpoint.ID, failed, j.f.clock.Now())
	})
}

// gradeLoss notes an answer that did not come or broke off, unless the caller has left.
func (j *job) gradeLoss() {
	if err := j.ctx.Err(); err == nil || errors.Is(err, context.DeadlineExceeded) {
		j.grade(true)
	}
}

// gradeOwnFailure notes a failure that an endpoint has answered with. Two endpoints that fail the same request show that
// the request is at fault.
func (j *job) gradeOwnFailure() {
	j.ownFailures = append(j.ownFailures, j.choice.Endpoint.ID)
	if len(j.ownFailures) == 1 {
		j.grade(true)

		return
	}
	j.grade(false)
	if len(j.ownFailures) == 2 {
		j.f.Update(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
			b.Outliers.RetractFailure(j.service, j.ownFailures[0], j.f.clock.Now())
		})
	}
}
