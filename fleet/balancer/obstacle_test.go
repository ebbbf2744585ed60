package balancer

import (
	"strings"
	"testing"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Every obstacle keeps requests from the only endpoint, and the refusal names it.
func TestObstacles(t *testing.T) {
	only := model.EndpointID("e-0-0")
	cases := []struct {
		obstacle Obstacle
		impose   func(*Balancer, *cataloguer.View, *Request)
		wait     timekeeper.Millis
	}{
		{ObstacleNone, func(*Balancer, *cataloguer.View, *Request) {}, 0},
		{ObstacleDraining, func(_ *Balancer, v *cataloguer.View, _ *Request) { v.Endpoint(only).IsDraining = true }, noEndpointRetryAfter},
		{ObstacleDomainOut, func(_ *Balancer, v *cataloguer.View, _ *Request) { v.DomainsOut["d-0"] = true }, noEndpointRetryAfter},
		{ObstacleTried, func(_ *Balancer, _ *cataloguer.View, r *Request) { r.Tried = []model.EndpointID{only} }, noEndpointRetryAfter},
		{ObstacleSoftware, func(_ *Balancer, v *cataloguer.View, r *Request) {
			v.Endpoint(only).Software, r.Software = "v1", "v2"
		}, noEndpointRetryAfter},
		{ObstacleConnections, func(b *Balancer, v *cataloguer.View, _ *Request) {
			service := v.Configuration.Services[testService]
			service.MaxConnections = 1
			v.Configuration.Services[testService] = service
			b.RecordStart(only, settled)
		}, noEndpointRetryAfter},
		{ObstacleLimit, func(b *Balancer, _ *cataloguer.View, _ *Request) {
			b.Limits.Merge(budgeter.LimitNotice{Endpoint: model.EndpointProcess{ID: only}, IsAdvertised: true, At: settled})
		}, maxLimitRetryAfter},
		{ObstacleCold, func(b *Balancer, v *cataloguer.View, _ *Request) {
			v.Endpoint(only).ColdUntil = settled + timekeeper.Minute
			for range 100 {
				b.RecordStart(only, settled)
			}
		}, coldRetryAfter},
	}
	for _, c := range cases {
		b, v, r := newTestBalancer(), newView(1, 1), Request{Service: testService}
		c.impose(b, v, &r)
		_, refusal := b.Choose(v, r, settled)
		if (refusal == nil) != (c.obstacle == ObstacleNone) {
			t.Errorf("%q: refusal %v", c.obstacle, refusal)

			continue
		}
		if refusal == nil {
			continue
		}
		if !strings.Contains(refusal.Detail, string(c.obstacle)+" 1") || refusal.RetryAfter != c.wait || refusal.Outcome != model.OutcomeNotRun {
			t.Errorf("%q: refusal %+v, want Retry-After %d", c.obstacle, refusal, c.wait)
		}
	}
}
