package prover

import (
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

// crashGateway is one gateway: the product's crash tracker, and the faults that affect it.
type crashGateway struct {
	tracker          *quarantiner.CrashTracker
	startedAt        timekeeper.Millis
	partitionedUntil timekeeper.Millis
	nextGossip       timekeeper.Millis
	// failures are the ends of exchanges that time out.
	failures []timekeeper.Millis
}

func (s *crashSimulation) startGateway() *crashGateway {
	tracker := quarantiner.NewCrashTracker()
	tracker.Suspects.IgnoresTimes = s.variant.CountsEachCrash
	if !s.variant.IgnoresPartitions {
		tracker.FleetSize = func() int { return len(s.gateways) }
	}

	return &crashGateway{tracker: tracker, startedAt: s.now, nextGossip: s.now + s.choose.duration(crashGossipInterval)}
}

// injectFaults cuts gateways off from the others or starts them anew.
func (s *crashSimulation) injectFaults() {
	n := s.choose(len(s.gateways))
	switch s.choose(300) {
	case 0:
		if s.variant.RestartsAny || s.isRemembered(n) {
			s.gateways[n] = s.startGateway()
		}
	case 1, 2:
		if s.partitionCount() < maxPartitions {
			s.gateways[n].partitionedUntil = s.now + s.choose.duration(6*timekeeper.Second)
		}
	}
}

// isRemembered reports whether another gateway has had the time to learn what the n-th one knows.
func (s *crashSimulation) isRemembered(n int) bool {
	for i, g := range s.gateways {
		if i != n && s.isInTouch(g) && g.partitionedUntil <= s.now && s.gateways[n].partitionedUntil <= s.now {
			return true
		}
	}

	return false
}

func (s *crashSimulation) partitionCount() int {
	count := 0
	for _, g := range s.gateways {
		if g.partitionedUntil > s.now {
			count++
		}
	}

	return count
}

// stepGateway runs the exchanges that are due at a gateway.
func (s *crashSimulation) stepGateway(g *crashGateway) {
	for len(g.failures) > 0 && g.failures[0] <= s.now {
		g.failures = g.failures[1:]
		g.recordExchange(false, s)
	}
	if g.nextGossip > s.now || len(s.gateways) == 1 {
		return
	}
	g.nextGossip = s.now + crashGossipInterval
	other := s.gateways[s.choose(len(s.gateways))]
	if other == g {
		return
	}
	if g.partitionedUntil > s.now || other.partitionedUntil > s.now {
		g.failures = append(g.failures, s.now+crashGossipTimeout)

		return
	}
	g.recordExchange(true, s)
	other.recordExchange(true, s)
	s.tell(g, other)
	s.tell(other, g)
}

func (g *crashGateway) recordExchange(succeeded bool, s *crashSimulation) {
	g.tracker.Reach.RecordExchange(succeeded, s.now)
}

// tell sends what a gateway knows of suspects to another.
func (s *crashSimulation) tell(from, to *crashGateway) {
	shared := from.tracker.Suspects.Share(crashGossipBytes, s.now)
	if s.variant.SharesNothing {
		return
	}
	told := quarantiner.DecodeSuspicions(quarantiner.EncodeSuspicions(shared))
	quarantiner.DecodeCrashAges(told, quarantiner.EncodeCrashAges(shared))
	for _, suspicion := range told {
		to.tracker.Merge(suspicion, s.now)
	}
}

// isInTouch reports whether the users' rules hold a gateway to their bounds.
func (s *crashSimulation) isInTouch(g *crashGateway) bool {
	return s.now-g.startedAt >= crashContactTime
}
