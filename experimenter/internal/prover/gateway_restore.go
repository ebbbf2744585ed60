package prover

import (
	"fmt"
	"slices"
	"strings"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// scheduledWrite is what an operator or an endpoint writes to the store at a time.
type scheduledWrite struct {
	at    timekeeper.Millis
	write func()
}

// startRestore takes the store away for a moment, after which it comes back from its copy, if there is one.
func (s *gatewaySimulation) startRestore() {
	if s.store.copied == nil || s.storeDownUntil > s.now {
		return
	}
	s.restoresStore = true
	s.storeDownUntil = s.now + 1 + s.choose.duration(timekeeper.Second)
}

// stepStore brings the store back from its copy if that is due, and does what is to be written.
func (s *gatewaySimulation) stepStore() {
	if s.restoresStore && s.storeDownUntil <= s.now {
		s.restoresStore = false
		s.store.restore()
		s.scheduleRewrites()
	}
	due := slices.Clone(s.scheduledWrites)
	s.scheduledWrites = nil
	for _, w := range due {
		if w.at > s.now || s.storeDownUntil > s.now {
			s.scheduledWrites = append(s.scheduledWrites, w)

			continue
		}
		w.write()
	}
}

// schedule lets write happen within rewriteTime, less the time in which gateways learn of it.
func (s *gatewaySimulation) schedule(write func()) {
	at := s.now + s.choose.duration(rewriteTime*3/4)
	s.scheduledWrites = append(s.scheduledWrites, scheduledWrite{at: at, write: write})
}

// scheduleRewrites lets endpoints and operators write again what the store has lost, and lets the entries of endpoints that
// have left expire. Writes that were scheduled before are superseded.
func (s *gatewaySimulation) scheduleRewrites() {
	s.scheduledWrites = nil
	s.storeCompleteAt = s.now + rewriteTime
	for _, id := range s.endpointIDs {
		if state := s.endpoints[id]; state.isDeleted {
			s.expireEntry(id)
		} else {
			s.schedule(func() { s.rewriteEntry(id) })
		}
	}
	for n := range s.deployment.domainCount {
		s.schedule(func() { s.rewriteOutage(domainID(n)) })
	}
}

// expireEntry deletes the entry of an endpoint that has left once it was not renewed for entryLifetime.
func (s *gatewaySimulation) expireEntry(id model.EndpointID) {
	if _, ok := s.store.items[endpointKey(id)]; !ok {
		return
	}
	s.scheduledWrites = append(s.scheduledWrites, scheduledWrite{at: s.now + entryLifetime, write: func() { s.store.delete(endpointKey(id)) }})
}

// rewriteEntry writes the entry of an endpoint if the store holds none or another one.
func (s *gatewaySimulation) rewriteEntry(id model.EndpointID) {
	state := s.endpoints[id]
	if state.isDeleted {
		return
	}
	item, ok := s.store.items[endpointKey(id)]
	if !ok || s.entryOf(item).IsDraining != state.isDraining {
		s.writeEntry(id)
	}
}

// rewriteOutage writes or deletes the outage of a domain if the store differs from what operators want.
func (s *gatewaySimulation) rewriteOutage(d model.DomainID) {
	_, isOut := s.domainOutSince[d]
	_, isWritten := s.store.items[outageKey(d)]
	if isOut && !isWritten {
		s.writeOutage(d)
	}
	if !isOut && isWritten {
		s.store.delete(outageKey(d))
	}
}

// entryOf returns the endpoint entry that was written in an item.
func (s *gatewaySimulation) entryOf(item replicator.Item) cataloguer.Endpoint {
	return s.entries[decodePosition(item.Value)]
}

// isOutdatedEntry tells gateways whether a restored entry is older than the known one.
func (s *gatewaySimulation) isOutdatedEntry(known, restored replicator.Item) bool {
	return known.IsDeleted || (s.entryOf(known).IsDraining && !s.entryOf(restored).IsDraining)
}

// checkQuietFleet lets the fleet run without changes and faults, and checks that all gateways then know what the store holds.
func (s *gatewaySimulation) checkQuietFleet() {
	for _, g := range s.gateways {
		g.pausedUntil, g.storeUnreachableUntil, g.partitionedUntil = 0, 0, 0
	}
	s.storeDownUntil = min(s.storeDownUntil, s.now)
	for end := s.now + quietPeriod; s.now < end; {
		s.now += stepInterval
		s.stepStore()
		for _, g := range s.gateways {
			s.stepGateway(g)
		}
	}
	for _, g := range s.gateways {
		s.checkQuietGateway(g)
	}
}

func (s *gatewaySimulation) checkQuietGateway(g *gatewayProcess) {
	if g.endpointReplica.Synced().Era != s.store.era && !s.variant.IgnoresEras {
		s.recordViolation("gateways follow a restored store", "%s is in era %d, the store in %d",
			g.name, g.endpointReplica.Synced().Era, s.store.era)
	}
	for n := range s.deployment.domainCount {
		d := domainID(n)
		if _, isOut := s.domainOutSince[d]; isOut != g.view.DomainsOut[d] {
			s.recordViolation("gateways know which domains are out", "%s: out of service: %v, known as out: %v",
				g.name, isOut, g.view.DomainsOut[d])
		}
	}
	for _, id := range s.endpointIDs {
		state := s.endpoints[id]
		e := g.view.Endpoint(id)
		isUsable := e != nil && !e.IsDraining
		if isUsable != (state.removedAt == 0) {
			s.recordViolation("gateways know which endpoints take work", "%s: %s was removed at %d ms, usable: %v",
				g.name, id, state.removedAt, isUsable)
		}
	}
}

// recordKnownState records which endpoints have left and which domains are out as far as the gateway knows.
func (s *gatewaySimulation) recordKnownState(g *gatewayProcess) {
	for _, id := range s.endpointIDs {
		e := g.view.Endpoint(id)
		wasKnown := g.knownEndpoints[endpointKey(id)] != nil
		if s.endpoints[id].removedAt > 0 && wasKnown && (e == nil || e.IsDraining) {
			g.knownRemoved[id] = true
		}
	}
	for _, item := range g.outageReplica.Items() {
		d := model.DomainID(strings.TrimPrefix(item.Key, outagePrefix))
		g.knownOutSince[d] = s.outages[decodePosition(item.Value)]
	}
}

// checkKnownState checks that a gateway does not choose an endpoint against what it has known since its start.
func (s *gatewaySimulation) checkKnownState(g *gatewayProcess, id model.EndpointID) {
	if g.knownRemoved[id] {
		s.recordViolation("what has left is not taken back", "%s chose %s, which it knew to have left", g.name, id)
	}
	d := s.endpoints[id].domain
	since, isOut := s.domainOutSince[d]
	if known, ok := g.knownOutSince[d]; isOut && ok && known == since {
		s.recordViolation("what is out stays out", "%s chose %s in %s, which it knew to be out since %d ms", g.name, id, d, since)
	}
}

// decodePosition is the inverse of encodePosition; other values give the zero position.
func decodePosition(value []byte) replicator.Position {
	var p replicator.Position
	// A value of another form leaves the zero position, which no write has.
	_, _ = fmt.Sscanf(string(value), "%d/%d", &p.Era, &p.Revision)

	return p
}
