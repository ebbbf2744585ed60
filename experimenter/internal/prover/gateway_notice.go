package prover

import (
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

const (
	// leaveTime is how long a gateway may use an endpoint after an answer that says that it leaves; leaveGrace is the part of it in
	// which it does so as a last resort.
	leaveTime  = 2 * timekeeper.Second
	leaveGrace = timekeeper.Second
	// backoffLearnTime is how long after a backoff was asked for requests still may arrive, maxArrivalsInBackoff how many may later.
	backoffLearnTime     = 500 * timekeeper.Millis(1)
	maxArrivalsInBackoff = 2
)

// askedBackoff is a backoff that an endpoint has asked a gateway for.
type askedBackoff struct {
	at, until timekeeper.Millis
	arrivals  int
}

// noticeState is what an endpoint says in its answers, and to which gateway processes it has said so.
type noticeState struct {
	isLeaving     bool
	shedsUntil    timekeeper.Millis
	backoff       timekeeper.Millis
	toldAt        map[*gatewayProcess]timekeeper.Millis
	askedBackoffs map[*gatewayProcess]*askedBackoff
}

func newNoticeState() noticeState {
	return noticeState{toldAt: map[*gatewayProcess]timekeeper.Millis{}, askedBackoffs: map[*gatewayProcess]*askedBackoff{}}
}

// changeNotice lets an endpoint say that it leaves, whatever the store says, or turn requests away for a while and ask for backoffs.
func (s *gatewaySimulation) changeNotice(id model.EndpointID) {
	n := &s.endpoints[id].notice
	if s.choose.oneIn(3) {
		n.isLeaving = true

		return
	}
	n.shedsUntil = s.now + s.choose.duration(5*timekeeper.Second)
	n.backoff = 100 + s.choose.duration(4*timekeeper.Second)
}

// outcomeAt returns the outcome of an attempt at an endpoint, which is random unless the endpoint turns requests away.
func (s *gatewaySimulation) outcomeAt(id model.EndpointID) (failure retrier.AttemptFailure, isServed bool) {
	if s.now < s.endpoints[id].notice.shedsUntil {
		return retrier.AttemptFailure{ReachedEndpoint: true}, false
	}

	return s.randomOutcome()
}

// recordNotices checks a request that has reached an endpoint against what the endpoint has told the gateway, and lets the gateway learn
// what the answer says.
func (s *gatewaySimulation) recordNotices(g *gatewayProcess, id model.EndpointID) {
	n := &s.endpoints[id].notice
	s.checkNotices(g, id, n)
	process := model.EndpointProcess{ID: id}
	if n.isLeaving {
		if _, isTold := n.toldAt[g]; !isTold {
			n.toldAt[g] = s.now
		}
		if !s.variant.IgnoresLeaving {
			g.balancer.Notices.RecordLeaving(process, s.now)
		}
	}
	if s.now < n.shedsUntil {
		if asked := n.askedBackoffs[g]; asked == nil || asked.until <= s.now {
			n.askedBackoffs[g] = &askedBackoff{at: s.now, until: s.now + n.backoff}
		}
		if !s.variant.IgnoresBackoff {
			g.balancer.Notices.RecordBackoff(process, n.backoff, s.now)
		}
	}
}

func (s *gatewaySimulation) checkNotices(g *gatewayProcess, id model.EndpointID, n *noticeState) {
	if toldAt, isTold := n.toldAt[g]; isTold && s.now-toldAt > leaveTime {
		s.recordViolation("an endpoint that says that it leaves gets no more", "%s sent a request to %s %d ms after it was told",
			g.name, id, s.now-toldAt)
	}
	asked := n.askedBackoffs[g]
	if asked == nil || s.now <= asked.at+backoffLearnTime || s.now >= asked.until {
		return
	}
	asked.arrivals++
	if asked.arrivals > maxArrivalsInBackoff {
		s.recordViolation("an endpoint that has asked for a backoff is left alone", "%s sent %s %d requests in a rest of %d ms",
			g.name, id, asked.arrivals, asked.until-asked.at)
	}
}

// wantsNoRequests reports whether an endpoint has asked a gateway for no more requests.
func (s *gatewaySimulation) wantsNoRequests(g *gatewayProcess, e *cataloguer.Endpoint) bool {
	notices := g.balancer.Notices

	return notices.IsLeaving(e.Process()) || notices.BackoffLeft(e.Process(), s.now) > 0
}
