package prover

import (
	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// sendRequest sends a request to the endpoint of a node, as a router with an outdated view would, and checks whether the
// node was allowed to accept it.
func (s *configurationSimulation) sendRequest(n *processNode) {
	isReady := s.variant.SkipsReadinessGate || n.acceptor.Readiness.IsReady(s.now, processCount-1)
	if s.variant.SkipsReadinessAfterPause {
		isReady = s.now-n.resumedAt >= 0 && n.acceptor.Current() != nil
	}
	gate := admitter.Gate{Self: endpointID(n.number), IsReady: isReady, IsVMDraining: n.isVMDraining}
	if gate.Check(n.acceptor.Current(), 0) != nil && !s.variant.SkipsAdmissionGate {
		return
	}
	if n.acceptor.Version() < n.highestFromPeers {
		s.recordViolation("never reverts", "node %d serves on version %d although a peer held %d",
			n.number, n.acceptor.Version(), n.highestFromPeers)
	}
	if n.currentVersion < n.highestEver &&
		s.countHolders(n, outage{version: n.highestEver}, s.now-n.startedAt) >= sufficientHolders {
		s.recordViolation("never reverts", "node %d serves on version %d after it held %d before its restart",
			n.number, n.currentVersion, n.highestEver)
	}
	s.checkDrained(n)
}

// checkDrained checks that a node that accepts a request is not in a failure domain that is out of service and not on a VM
// that is draining, once it has had time to learn of this.
func (s *configurationSimulation) checkDrained(n *processNode) {
	domainOutage, isOut := s.outages[domainID(n.number)]
	if isOut && (s.hadTimeToLearn(n, domainOutage) || s.countHolders(n, domainOutage, drainBound) >= sufficientHolders) {
		s.recordViolation("a domain that is out takes no work",
			"node %d accepts a request %d ms after its domain was taken out of service", n.number, s.now-domainOutage.since)
	}
	if since, isDraining := s.drainingSince[n.number]; isDraining && s.now-max(since, n.resumedAt) > drainBound {
		s.recordViolation("a draining endpoint takes no work",
			"node %d accepts a request %d ms after its VM started to drain", n.number, s.now-since)
	}
}

// hadTimeToLearn reports whether, for longer than drainBound, a node has been running and able to reach another running node
// that holds the version of an outage.
func (s *configurationSimulation) hadTimeToLearn(n *processNode, o outage) bool {
	for _, other := range s.nodes {
		if other == n || other.partition != n.partition || other.currentVersion < o.version {
			continue
		}
		start := max(o.since, n.reachableSince, n.resumedAt, other.resumedAt, other.heldSince(o.version))
		if s.now-start > drainBound {
			return true
		}
	}

	return false
}

// countHolders returns how many other nodes on n's side of the partition have held the version of an outage for longer than
// minDuration, without a pause of their own or a change of the partition. It disregards pauses of n: with sufficientHolders
// such nodes in reach, n must know the version even right after a pause.
func (s *configurationSimulation) countHolders(n *processNode, o outage, minDuration timekeeper.Millis) int {
	count := 0
	for _, other := range s.nodes {
		if other == n || other.partition != n.partition || other.currentVersion < o.version || other.pausedUntil > s.now {
			continue
		}
		if s.now-max(o.since, n.partitionChangedAt, other.resumedAt, other.heldSince(o.version)) > minDuration {
			count++
		}
	}

	return count
}

// heldSince returns when a node first put the version or a higher one in force since its start, or never.
func (n *processNode) heldSince(version model.Version) timekeeper.Millis {
	since := never
	for v, at := range n.acceptedAt {
		if v >= version {
			since = min(since, at)
		}
	}

	return since
}
