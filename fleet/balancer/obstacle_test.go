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
		{ObstacleLeaving, func(b *Balancer, v *cataloguer.View, _ *Request) {
			b.Notices.RecordLeaving(v.Endpoint(only).Process(), settled)
		}, noEndpointRetryAfter},
		{ObstacleBackoff, func(b *Balancer, v *cataloguer.View, _ *Request) {
			b.Notices.RecordBackoff(v.Endpoint(only).Process(), 7*timekeeper.Second, settled)
		}, 7 * timekeeper.Second},
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
		if !strings.Contains(refusal.Detail, string(c.obstacle)+" 1") || !isExpected(refusal.RetryAfter, c.wait, c.obstacle) || refusal.Outcome != model.OutcomeNotRun {
			t.Errorf("%q: refusal %+v, want Retry-After %d", c.obstacle, refusal, c.wait)
		}
	}
}

// isExpected reports whether a Retry-After is the expected one; only those after a backoff are staggered.
func isExpected(got, want timekeeper.Millis, o Obstacle) bool {
	if o == ObstacleBackoff {
		return got >= want && got < want+backoffJitter
	}

	return got == want
}

// An endpoint that says that it leaves is used for a short time only, and only if no other can take the request.
func TestLeavingEndpointIsLastResort(t *testing.T) {
	b, v := newTestBalancer(), newView(1, 2)
	b.LeaveGrace = timekeeper.Second
	leaver := v.Endpoint("e-0-0")
	b.Notices.RecordLeaving(leaver.Process(), settled)
	choose := func(at timekeeper.Millis) (Choice, *model.Refusal) {
		return b.Choose(v, Request{Service: testService, Session: 7}, at)
	}
	for n := range timekeeper.Millis(20) {
		if c, refusal := choose(settled + n); refusal != nil || c.Endpoint == leaver {
			t.Fatalf("chose %v: %v, want the endpoint that stays", c.Endpoint, refusal)
		}
	}
	v.Endpoint("e-0-1").IsDraining = true
	if c, refusal := choose(settled + b.LeaveGrace - 1); refusal != nil || c.Endpoint != leaver {
		t.Errorf("refused while the leaving endpoint still serves: %v", refusal)
	}
	if _, refusal := choose(settled + b.LeaveGrace); refusal == nil {
		t.Error("an endpoint that has left was chosen")
	}
}

// Guards against a stream that goes on at an endpoint whose listed process has ended, and that may have started again with another
// software version.
func TestSoftwareOfEndedProcessIsUncertain(t *testing.T) {
	b, v := newTestBalancer(), newView(1, 1)
	b.RenewalTime = 5 * timekeeper.Second
	e := v.Endpoint("e-0-0")
	e.Software, e.StartedAt = "v1", 1
	choose := func(now timekeeper.Millis) *model.Refusal {
		_, refusal := b.Choose(v, Request{Service: testService, Software: "v1"}, now)

		return refusal
	}
	b.RecordEnd(e.Process(), settled)
	if b.SoftwareOf(e, settled) != "" || choose(settled+1) == nil {
		t.Error("the process that has ended is taken for the one that answers")
	}
	if choose(settled+b.RenewalTime) != nil {
		t.Error("a process whose entry was renewed since is still taken to have ended")
	}
	e.StartedAt = 2
	if choose(settled+1) != nil {
		t.Error("the process that is listed now is taken to have ended")
	}
}
