package prover

import (
	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// exchangeGossip sends gossip between two gateways in both directions if they can reach each other.
func (s *gatewaySimulation) exchangeGossip(g, other *gatewayProcess) {
	if g == other || g.partitionedUntil > s.now || other.partitionedUntil > s.now || other.pausedUntil > s.now {
		return
	}
	s.sendGossip(g, other)
	s.sendGossip(other, g)
}

// sendGossip sends members, load reports and the time of the last contact with the store to another gateway, and copies of
// the ranges if that gateway cannot reach the store.
func (s *gatewaySimulation) sendGossip(from, to *gatewayProcess) {
	if !s.variant.IgnoresOtherGateways {
		to.balancer.Membership.Add(from.balancer.Membership.Confirmed(s.now), s.now)
		to.balancer.Membership.RecordExchange(from.name, s.now)
	}
	for _, r := range from.balancer.ReportsFor(balancer.HashName(to.name), 200, s.now) {
		to.balancer.MergeReport(r, s.now)
	}
	s.sendLimits(from, to)
	if contact := from.endpointReplica.LastContact(); contact > 0 {
		to.endpointReplica.RecordPeerContact(contact)
	}
	if since := from.endpointReplica.EraSince(); since > 0 {
		to.endpointReplica.RecordPeerEra(from.endpointReplica.Synced().Era, since)
		to.outageReplica.RecordPeerEra(from.endpointReplica.Synced().Era, since)
	}
	isChanged := s.sendEarlier(from.endpointReplica, to.endpointReplica)
	isChanged = s.sendEarlier(from.outageReplica, to.outageReplica) || isChanged
	if isChanged {
		s.rebuildView(to)
	}
	if s.canReachStore(to) {
		return
	}
	readAt := from.endpointReplica.LastContact()
	if s.variant.TakesCopiesAsFresh {
		readAt = s.now
	}
	changed := s.copyReplica(from.endpointReplica, to.endpointReplica, readAt)
	changed = s.copyReplica(from.outageReplica, to.outageReplica, readAt) || changed
	if changed {
		s.rebuildView(to)
	}
}

// sendEarlier tells a gateway that has started since the store was restored what was known before.
func (s *gatewaySimulation) sendEarlier(from, to *replicator.Replica) bool {
	if !to.IsRecent() || from.EraSince() == 0 || s.now-from.EraSince() >= renewalTime {
		return false
	}

	return to.LearnEarlier(from.Earlier(), from.Synced(), s.now)
}

// copyReplica updates a replica from another gateway's copy, which the store held at readAt, and reports whether anything
// changed.
func (s *gatewaySimulation) copyReplica(from, to *replicator.Replica, readAt timekeeper.Millis) bool {
	if !from.HasSynced() {
		return false
	}
	at := from.Synced()
	if s.variant.AcceptsStaleCopies && at.Compare(to.Synced()) < 0 {
		at = to.Synced()
	}

	return to.Replace(from.LiveItems(), at, readAt, s.now)
}
