package balancer

import (
	"math"
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/timekeeper"
)

// candidate is an endpoint that can be given the request.
type candidate struct {
	endpoint *cataloguer.Endpoint
	load     int
	// expected is the load to expect now, as far as the gateway spreads requests, else load.
	expected float64
	// score is the rendezvous score of the endpoint for the session.
	score uint64
	// isLimited is true if the endpoint advertises the request rate that it takes, and isReserved if what is left of it is for sessions
	// whose prompt it holds.
	isLimited, isReserved bool
}

// candidateSet is the input of a choice among the endpoints of a service.
type candidateSet struct {
	candidates []candidate
	// outliers get trial requests only, unless no other endpoint can take the request.
	outliers []candidate
	// obstacles counts the endpoints that cannot take the request.
	obstacles obstacleCount
	// meanLoad includes endpoints that take no new work, as the operators' load bound does, but not those that advertise a limit, unless
	// all do: the others carry the load that these do not take.
	meanLoad float64
	// expectation is what the loads to expect follow from.
	expectation expectation
}

func (b *Balancer) candidates(v *cataloguer.View, service cataloguer.Service, r Request, now timekeeper.Millis) candidateSet {
	endpoints := v.Endpoints(r.Service)
	set := candidateSet{candidates: make([]candidate, 0, len(endpoints))}
	check := obstacleCheck{
		view: v, service: service, request: &r, now: now,
		sharers:    b.Membership.SettledMembers(now),
		maxRunning: connectionShare(service, len(b.Membership.Members())),
	}
	var blocked, leavers []candidate
	var sum loadSum
	expect := b.newExpectation(r.Service, now)
	if service.IsEngine && r.Session != 0 {
		expect.countGrowth()
	}
	for _, e := range endpoints {
		s := b.state(e.ID)
		b.followProcess(s, e, now)
		c := candidate{endpoint: e, load: s.running + s.remoteRunning, score: hasher.Mix(r.Session ^ s.seed)}
		c.expected = expect.load(s)
		c.isLimited = b.Limits.IsLimited(e.Process())
		sum.add(&c)
		if o, wait := b.findObstacle(&check, &c, s); o != ObstacleNone {
			set.obstacles.add(o, wait)
			if o == ObstacleLeaving && !b.HasLeft(e, now) {
				leavers = append(leavers, c)
			}

			continue
		}
		c.isReserved = c.isLimited && !b.Limits.HasSurplus(e.Process())
		switch {
		case !s.breaker.IsClosed():
			blocked = append(blocked, c)
		case b.Outliers.IsOutlier(e.ID, now):
			set.outliers = append(set.outliers, c)
		default:
			set.candidates = append(set.candidates, c)
		}
	}
	set.meanLoad = sum.mean()
	set.expectation = expect
	// Outliers, then endpoints with an open breaker, then those that are about to leave, are the last resort: the request may still
	// succeed there.
	if len(set.candidates) == 0 {
		set.candidates, set.outliers = set.outliers, nil
	}
	if len(set.candidates) == 0 {
		set.candidates = blocked
	}
	if len(set.candidates) == 0 {
		set.candidates = leavers
	}
	if set.obstacles.has(ObstacleLimit) {
		set.removeFull()
	}

	return set
}

// HasLeft reports whether an endpoint has said that it leaves so long ago that it must not be used any more.
func (b *Balancer) HasLeft(e *cataloguer.Endpoint, now timekeeper.Millis) bool {
	return b.Notices.HasLeft(e.Process(), b.LeaveGrace, now)
}

// removeFull removes the candidates without a free slot: what endpoints that advertise a limit do not take must not overrun the
// others.
func (s *candidateSet) removeFull() {
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool {
		if !hasNoFreeSlot(&c) {
			return false
		}
		s.obstacles.add(ObstacleFull, 0)

		return true
	})
}

// loadSum adds up the loads of endpoints, those that advertise a limit apart.
type loadSum struct {
	load, endpoints               int
	limitedLoad, limitedEndpoints int
}

func (s *loadSum) add(c *candidate) {
	if c.isLimited {
		s.limitedLoad += c.load
		s.limitedEndpoints++

		return
	}
	s.load += c.load
	s.endpoints++
}

// mean returns the mean load of the endpoints without a limit or, if all advertise one, of all.
func (s *loadSum) mean() float64 {
	if s.endpoints > 0 {
		return float64(s.load) / float64(s.endpoints)
	}

	return float64(s.limitedLoad) / float64(max(s.limitedEndpoints, 1))
}

// hasNoFreeSlot reports whether all slots of an endpoint are known to be in use.
func hasNoFreeSlot(c *candidate) bool {
	return c.endpoint.Slots > 0 && c.load >= c.endpoint.Slots
}

// connectionShare returns the number of connections that this gateway may hold to each endpoint of a service.
func connectionShare(s cataloguer.Service, gateways int) int {
	if s.MaxConnections <= 0 {
		return math.MaxInt
	}

	return max(s.MaxConnections/max(gateways, 1), 1)
}
