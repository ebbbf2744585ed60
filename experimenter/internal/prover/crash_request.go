package prover

import (
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

// crasher is a request, or a prompt part, that crashes each endpoint that runs it and comes again and again at any gateway.
type crasher struct {
	suspect   quarantiner.Suspect
	interval  timekeeper.Millis
	nextAt    timekeeper.Millis
	crashes   []timekeeper.Millis
	lateSends int
}

// crashRun is a request that runs at an endpoint.
type crashRun struct {
	gateway  *crashGateway
	suspects []quarantiner.Suspect
	crasher  *crasher
	endsAt   timekeeper.Millis
}

// sendRequests sends the crashers that are due, and sound requests.
func (s *crashSimulation) sendRequests() {
	for _, c := range s.crashers {
		if c.nextAt <= s.now {
			c.nextAt = s.now + c.interval/2 + s.choose.duration(c.interval)
			s.sendCrasher(c)
		}
	}
	for range s.choose(3) {
		run := &crashRun{gateway: s.gateways[s.choose(len(s.gateways))], suspects: s.newSuspects(), endsAt: s.now + s.minRunTime + s.choose.duration(1500)}
		isRefused := s.isRefused(run)
		if !isRefused {
			s.start(run)
		}
		if !s.isInTouch(run.gateway) {
			continue
		}
		s.sound++
		if isRefused {
			s.refused++
		}
	}
}

// newSuspects returns the suspects of a new request: itself, a part that many requests share, and one that some share.
func (s *crashSimulation) newSuspects() []quarantiner.Suspect {
	s.requests++

	return []quarantiner.Suspect{
		{ID: quarantiner.SuspectID(10_000 + s.requests), Kind: quarantiner.KindRequest},
		{ID: quarantiner.SuspectID(100 + s.choose(2)), Kind: quarantiner.KindPart},
		{ID: quarantiner.SuspectID(200 + s.choose(40)), Kind: quarantiner.KindPart},
	}
}

func (s *crashSimulation) sendCrasher(c *crasher) {
	g := s.gateways[s.choose(len(s.gateways))]
	suspects := append(s.newSuspects(), c.suspect)
	run := &crashRun{gateway: g, suspects: suspects, crasher: c, endsAt: s.now + 20 + s.choose.duration(200)}
	if s.isRefused(run) || !s.start(run) {
		return
	}
	tolerated := c.suspect.Threshold()
	if !s.isInTouch(g) || len(c.crashes) < tolerated || s.now <= c.crashes[tolerated-1]+crashContactTime {
		return
	}
	if c.lateSends++; c.lateSends > maxLateSends {
		s.recordViolation("what crashes endpoints stops reaching them",
			"%d sends of a %s later than %d ms after crash %d, %d gateways", c.lateSends, c.suspect.Kind, crashContactTime, tolerated, len(s.gateways))
	}
}

// isRefused reports whether the gateway of a request refuses it.
func (s *crashSimulation) isRefused(run *crashRun) bool {
	for _, suspect := range run.suspects {
		if isQuarantined, _ := run.gateway.tracker.IsQuarantined(suspect, s.now); isQuarantined {
			return true
		}
	}

	return false
}

// start sends a request to a random endpoint and reports whether it has reached it.
func (s *crashSimulation) start(run *crashRun) bool {
	e := s.endpoints[s.choose(len(s.endpoints))]
	if e.downUntil > s.now {
		return false
	}
	e.runs = append(e.runs, run)

	return true
}
