package prover

import (
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// limitWindow is the span over which the requests to an endpoint that advertises a limit are counted.
	limitWindow = 4 * timekeeper.Second
	// limitContactTime is how long after its first advertisement a limit counts.
	limitContactTime = 3 * timekeeper.Second
	// limitLearnTime is how long after an answer that advertises a limit the requests of the gateway that received it count.
	limitLearnTime = 500 * timekeeper.Millis(1)
	// limitNoticesPerMessage is the number of notices in a message between gateways.
	limitNoticesPerMessage = 12
)

// limitedArrival is a request that has reached an endpoint.
type limitedArrival struct {
	at      timekeeper.Millis
	gateway *gatewayProcess
}

// endpointLimit is the limit that an endpoint advertises, and the requests that have reached it.
type endpointLimit struct {
	perSecond float64
	since     timekeeper.Millis
	// toldAt is when each gateway process first received an answer with the limit.
	toldAt   map[*gatewayProcess]timekeeper.Millis
	arrivals []limitedArrival
}

// changeLimit lets an endpoint begin or stop to advertise a limit.
func (s *gatewaySimulation) changeLimit(id model.EndpointID) {
	state := s.endpoints[id]
	if state.limit != nil {
		state.limit = nil

		return
	}
	state.limit = &endpointLimit{
		perSecond: float64(1+s.choose(40)) / 4,
		since:     s.now,
		toldAt:    map[*gatewayProcess]timekeeper.Millis{},
	}
}

// recordLimitedArrival records a request that has reached an endpoint, checks the endpoint's limit, and lets the gateway learn
// what the answer says of it.
func (s *gatewaySimulation) recordLimitedArrival(g *gatewayProcess, id model.EndpointID) {
	l := s.endpoints[id].limit
	notice := budgeter.LimitNotice{Endpoint: model.EndpointProcess{ID: id}, At: s.now}
	if l != nil {
		notice.IsAdvertised, notice.PerSecond = true, l.perSecond
		l.arrivals = append(l.arrivals, limitedArrival{at: s.now, gateway: g})
		s.checkLimit(id, l)
		if _, ok := l.toldAt[g]; !ok {
			l.toldAt[g] = s.now
		}
	}
	if !s.variant.IgnoresLimits {
		g.balancer.Limits.RecordAnswer(notice, s.now-1)
	}
}

// checkLimit checks the number of requests that an endpoint got within the last limitWindow from gateways that had received its
// limit and were not disturbed.
func (s *gatewaySimulation) checkLimit(id model.EndpointID, l *endpointLimit) {
	windowStart := s.now - limitWindow
	if windowStart < l.since+limitContactTime {
		return
	}
	count := 0
	for _, a := range l.arrivals {
		toldAt, isTold := l.toldAt[a.gateway]
		isCounted := isTold && a.at-toldAt >= limitLearnTime && a.gateway.disturbedAt < windowStart-limitContactTime
		if a.at > windowStart && isCounted {
			count++
		}
	}
	if allowed := 1.5*l.perSecond*float64(limitWindow)/float64(timekeeper.Second) + 5; float64(count) > allowed {
		s.recordViolation("the limit that an endpoint advertises", "%s got %d requests in %d ms at a limit of %.2f a second, %.0f allowed",
			id, count, limitWindow, l.perSecond, allowed)
	}
}

// sendLimits sends another gateway the newest notices of limits.
func (s *gatewaySimulation) sendLimits(from, to *gatewayProcess) {
	if s.variant.IgnoresOtherGateways {
		return
	}
	for _, n := range from.balancer.Limits.Share(limitNoticesPerMessage, s.now) {
		to.balancer.Limits.Merge(n)
	}
}

// hasQuota reports whether an endpoint takes another request from a gateway by what the gateway knows of its limit.
func (s *gatewaySimulation) hasQuota(g *gatewayProcess, e *cataloguer.Endpoint) bool {
	p := e.Process()

	return g.balancer.Limits.Wait(p, g.balancer.Membership.SettledMembers(s.now), s.now) == 0
}
