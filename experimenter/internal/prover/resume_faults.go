package prover

import "cardamompulley/fleet/timekeeper"

// injectResumeFaults kills gateways, cuts them off, suspends them and lets the store be silent or discard its changes.
func (s *resumeSimulation) injectResumeFaults() {
	c := s.choose
	if s.isCalmVolume && s.now-s.startedAt < resumeCalm {
		return
	}
	switch c(400) {
	case 0:
		s.killGateways(len(s.gateways))
	case 1, 2:
		s.killGateways(1)
	case 3:
		g := s.gateways[c(len(s.gateways))]
		g.storeSilentUntil = s.now + c.duration(10*timekeeper.Second)
		s.lastFault = g.storeSilentUntil
	case 4:
		g := s.gateways[c(len(s.gateways))]
		g.cutOffUntil = s.now + c.duration(6*timekeeper.Second)
		s.lastFault = g.cutOffUntil
	case 5:
		if !s.isCalmVolume {
			s.discardedAt, s.lastFault = s.now, s.now
		}
	case 6, 7, 8, 9, 10:
		if s.suspends {
			s.suspend(s.gateways[c(len(s.gateways))])
		}
	}
}

// suspend lets the VM of a gateway stand still for a while.
func (s *resumeSimulation) suspend(g *resumeGateway) {
	if s.now < g.suspendedUntil {
		return
	}
	period := s.choose.duration(resumeRetention)
	g.suspendedUntil = s.now + period
	g.suspended += period
	s.lastFault = max(s.lastFault, g.suspendedUntil)
}

// awakeGateway returns a gateway that is not suspended, or false.
func (s *resumeSimulation) awakeGateway() (*resumeGateway, bool) {
	g := s.gateways[s.choose(len(s.gateways))]

	return g, s.now >= g.suspendedUntil
}

// killGateways replaces gateways by new processes that remember nothing.
func (s *resumeSimulation) killGateways(count int) {
	first := s.choose(len(s.gateways))
	for n := range count {
		i := (first + n) % len(s.gateways)
		s.gateways[i].isDead = true
		s.deaths = append(s.deaths, s.now)
		s.gateways[i] = s.startGateway(i)
	}
	if count > 1 || len(s.gateways) < 2+resumeHolders {
		s.lastFault = s.now
	}
}
