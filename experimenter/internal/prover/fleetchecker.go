package prover

import (
	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// offerWork sends new work to the endpoint of a node, as a router with an old view would.
func (w *fleetWorld) offerWork(n *fleetNode) {
	ready := w.variant.ServesAtOnce || n.acceptor.Readiness.Ready(w.now, fleetNodes-1)
	if w.variant.SkipsWakeHold {
		ready = w.now-n.wokenAt >= 0 && n.acceptor.Current() != nil
	}
	gate := admitter.Gate{Self: endpointOf(n.number), IsReady: ready, IsVMLeaving: n.leaving}
	if gate.Check(n.acceptor.Current(), 0) != nil && !w.variant.TrustsRouters {
		return
	}
	if n.acceptor.Version() < n.heard {
		w.fail("never reverts", "node %d serves on version %d after it heard of %d", n.number, n.acceptor.Version(), n.heard)
	}
	if n.inForce < n.everHeld && w.holders(n, outage{version: n.everHeld}, w.now-n.startedAt) >= manyHolders {
		w.fail("never reverts", "node %d serves on version %d after %d", n.number, n.inForce, n.everHeld)
	}
	w.checkDrained(n)
}

func (w *fleetWorld) checkDrained(n *fleetNode) {
	out, ok := w.outages[domainOf(n.number)]
	if ok && (w.reached(n, out) || w.holders(n, out, drainBound) >= manyHolders) {
		w.fail("a domain that is out takes no work", "node %d takes work %d ms after its domain went out", n.number, w.now-out.since)
	}
	if since, left := w.leftSince[n.number]; left && w.now-max(since, n.wokenAt) > drainBound {
		w.fail("a leaving endpoint takes no work", "node %d takes work %d ms after it left", n.number, w.now-since)
	}
}

// reached tells whether news has had the bound to reach a node that is up and not cut off from all who hold it.
func (w *fleetWorld) reached(n *fleetNode, out outage) bool {
	for _, other := range w.nodes {
		if other == n || other.side != n.side || other.inForce < out.version {
			continue
		}
		start := max(out.since, n.reachable, n.wokenAt, other.wokenAt, other.heldSince(out.version))
		if w.now-start > drainBound {
			return true
		}
	}

	return false
}

// holders counts the reachable nodes that have held a version for a span; no pause of its own excuses a node from many.
func (w *fleetWorld) holders(n *fleetNode, out outage, span timekeeper.Millis) int {
	count := 0
	for _, other := range w.nodes {
		if other == n || other.side != n.side || other.inForce < out.version || other.paused > w.now {
			continue
		}
		if w.now-max(out.since, n.cutAt, other.wokenAt, other.heldSince(out.version)) > span {
			count++
		}
	}

	return count
}

// heldSince returns when a node put a version, or a higher one, in force.
func (n *fleetNode) heldSince(version model.Version) timekeeper.Millis {
	since := never
	for v, at := range n.held {
		if v >= version {
			since = min(since, at)
		}
	}

	return since
}
