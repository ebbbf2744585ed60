package prover

import "cardamompulley/fleet/timekeeper"

// step lets a gateway go on with its call, or begin the next one.
func (s *readerSimulation) step(g *readerGateway) {
	if s.isSuspended(g) || s.now < g.pausedUntil {
		return
	}
	if !g.call.started {
		s.beginCall(g)
	}
	if g.call.reader != nil {
		s.stepFollow(g)
	} else {
		s.stepWatch(g)
	}
}

// beginCall sends a call to the gateway's source.
func (s *readerSimulation) beginCall(g *readerGateway) {
	source := g.sourcer.Source(s.othersKnownTo(g), s.clockOf(g))
	g.call = readerCall{sentAt: s.clockOf(g), suspended: g.suspended, started: true}
	for _, other := range s.gateways {
		if other.address == source {
			g.call.reader = other
		}
	}
	if g.call.reader == nil {
		s.beginWatch(g)
	}
}

// beginWatch sends a call to the store.
func (s *readerSimulation) beginWatch(g *readerGateway) {
	wait := readerIdleWait
	if g.lastFollowedAt > 0 && s.now-g.lastFollowedAt < readerContact {
		wait = g.sourcer.Timing.ReadWait
	}
	g.call = readerCall{sentAt: s.clockOf(g), until: s.clockOf(g) + wait, isHung: !s.reachesStore(g), started: true}
	if g.call.isHung {
		g.call.until = s.clockOf(g) + readerHang
	}
}

// othersKnownTo returns the other gateways that a gateway knows; it learns of one now and then.
func (s *readerSimulation) othersKnownTo(g *readerGateway) []string {
	var others []string
	for _, other := range s.gateways {
		if g.unknown[other.address] && s.choose.oneIn(8) {
			delete(g.unknown, other.address)
		}
		if other != g && !g.unknown[other.address] {
			others = append(others, other.address)
		}
	}

	return others
}

// stepWatch goes on with a call to the store. A connection that the store was cut off from stays silent.
func (s *readerSimulation) stepWatch(g *readerGateway) {
	g.call.isHung = g.call.isHung || !s.reachesStore(g)
	isOver := s.clockOf(g) >= g.call.until
	switch {
	case g.call.isHung && isOver:
		g.pausedUntil = s.now + readerBackoff
		g.call = readerCall{}
	case !g.call.isHung && (isOver || len(s.changes) > g.revision):
		if len(s.changes) > g.revision {
			g.pausedUntil = s.now + readerPause
		}
		g.revision = len(s.changes)
		s.recordKnown(g, s.clockOf(g))
		g.call = readerCall{}
	}
}

func (s *readerSimulation) recordKnown(g *readerGateway, at timekeeper.Millis) {
	if at >= g.knownAt {
		g.knownAt, g.suspendedThen = at, g.suspended
	}
}

// silence returns how long ago the store has told a gateway, as it says.
func (s *readerSimulation) silence(g *readerGateway) timekeeper.Millis {
	return s.clockOf(g) - g.knownAt + g.suspended - g.suspendedThen
}

// stepFollow goes on with a call to a reader.
func (s *readerSimulation) stepFollow(g *readerGateway) {
	reader, timing := g.call.reader, g.sourcer.Timing
	elapsed := s.clockOf(g) - g.call.sentAt
	if reader.isDead || !s.reaches(g, reader) {
		if elapsed >= timing.FollowTimeout {
			s.lookAtStore(g)
		}

		return
	}
	reader.lastFollowedAt = s.now
	silence := s.silence(reader)
	if reader.revision <= g.revision && elapsed < timing.FollowWait && silence < timing.MaxSilence {
		return
	}
	suspended := g.suspended - g.call.suspended
	if !s.variant.TrustsReaders && !g.sourcer.IsTrusted(silence, elapsed, suspended) {
		s.lookAtStore(g)

		return
	}
	g.revision = max(g.revision, reader.revision)
	s.recordKnown(g, g.call.sentAt-silence)
	g.call = readerCall{}
}

// lookAtStore gives a reader up and sends a call to the store in its place.
func (s *readerSimulation) lookAtStore(g *readerGateway) {
	if s.variant.NeverLooks {
		g.call = readerCall{}

		return
	}
	g.sourcer.Distrust(g.call.reader.address, s.clockOf(g))
	s.beginWatch(g)
}

// check checks that a gateway in touch knows the changes that are older than the bound.
func (s *readerSimulation) check(g *readerGateway) {
	lastFault := max(g.suspendedUntil, g.storeCutUntil, g.peersCutUntil, s.storeDownUntil)
	if s.now-lastFault < readerContact || g.revision >= len(s.changes) {
		return
	}
	if missing := s.changes[g.revision]; s.now-missing > readerBound && s.violation == nil {
		s.violation = &Violation{
			Property: "a change is known in time",
			Detail:   s.describe(g, missing),
		}
	}
}
