package prover

import (
	"fmt"
	"strings"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// gatewayProcess is one gateway: the cores of the product, and where its faults have brought it.
type gatewayProcess struct {
	number    int
	name      string
	balancer  *balancer.Balancer
	retries   *budgeter.RetryBudget
	endpoints *replicator.Replica
	outages   *replicator.Replica
	view      *cataloguer.View
	known     map[string]*cataloguer.Endpoint
	running   map[model.EndpointID]int
	ends      []runEnd
	// starts are the instants of its processes' starts.
	starts []timekeeper.Millis
	// followedSince is when it began to follow the store without a break.
	followedSince timekeeper.Millis
	frozenTill    timekeeper.Millis
	cutTill       timekeeper.Millis
	partedTill    timekeeper.Millis
	nextRead      timekeeper.Millis
	nextTrade     timekeeper.Millis
}

// runEnd is when a request that runs at an endpoint ends.
type runEnd struct {
	at       timekeeper.Millis
	endpoint model.EndpointID
}

func gatewayName(n int) string { return fmt.Sprintf("gateway-%d", n) }

// startGateway returns a new process that knows itself and the seeds.
func (w *gatewayWorld) startGateway(n int, starts []timekeeper.Millis) *gatewayProcess {
	var seeds []string
	for s := range min(3, w.site.gateways) {
		if !w.variant.KnowsNobody {
			seeds = append(seeds, gatewayName(s))
		}
	}
	name := gatewayName(n)

	return &gatewayProcess{
		number:        n,
		name:          name,
		balancer:      balancer.NewBalancer(w.site.multiple, name, "domain-0", budgeter.NewMembership(name, seeds, w.now)),
		retries:       budgeter.NewRetryBudget(w.site.terms),
		endpoints:     replicator.NewReplica(lapseAfter),
		outages:       replicator.NewReplica(0),
		known:         map[string]*cataloguer.Endpoint{},
		running:       map[model.EndpointID]int{},
		starts:        append(starts, w.now),
		followedSince: w.now,
	}
}

// disturbGateways restarts, freezes, cuts off and parts gateways.
func (w *gatewayWorld) disturbGateways() {
	c := w.choose
	g := w.gateways[c(len(w.gateways))]
	switch c(120) {
	case 0:
		w.restart(g)
	case 1:
		g.frozenTill = w.now + c.span(3*timekeeper.Second)
	case 2:
		g.cutTill = w.now + c.span(5*timekeeper.Second)
	case 3:
		g.partedTill = w.now + c.span(5*timekeeper.Second)
	case 4:
		if c.chance(4) {
			for _, g := range w.gateways {
				w.restart(g)
			}
		}
	}
}

// restart replaces a process, at most twice in two windows: one more and its predecessors' spending would count for nothing.
func (w *gatewayWorld) restart(g *gatewayProcess) {
	if n := len(g.starts); n > 1 && w.now-g.starts[n-2] < 2*w.site.terms.Window {
		return
	}
	w.gateways[g.number] = w.startGateway(g.number, g.starts)
}

func (w *gatewayWorld) runGateway(g *gatewayProcess) {
	if g.frozenTill > w.now {
		g.followedSince = w.now

		return
	}
	g.end(w.now)
	if g.nextRead <= w.now {
		g.nextRead = w.now + 50 + w.choose.span(300)
		w.followStore(g)
	}
	if g.nextTrade <= w.now {
		g.nextTrade = w.now + 125
		w.tradeWith(g, w.gateways[w.choose(len(w.gateways))])
	}
	if g.endpoints.ApplyDeferredDeletions(w.now) {
		w.rebuild(g)
	}
	g.balancer.ExpireReports(w.now)
}

func (g *gatewayProcess) end(now timekeeper.Millis) {
	kept := g.ends[:0]
	for _, e := range g.ends {
		if e.at > now {
			kept = append(kept, e)
			continue
		}
		g.balancer.RecordFinish(e.endpoint)
		g.running[e.endpoint]--
	}
	g.ends = kept
}

// reachesStore tells whether a gateway's calls to the store are answered.
func (w *gatewayWorld) reachesStore(g *gatewayProcess) bool {
	return g.cutTill <= w.now && w.storeAwayTill <= w.now
}

func (w *gatewayWorld) followStore(g *gatewayProcess) {
	if !w.reachesStore(g) {
		g.followedSince = w.now

		return
	}
	changed := w.followRange(g.endpoints, endpointRange)
	changed = w.followRange(g.outages, outageRange) || changed
	if changed {
		w.rebuild(g)
	}
}

func (w *gatewayWorld) followRange(r *replicator.Replica, prefix string) bool {
	r.RecordContact(w.now)
	if !r.HasSynced() || w.choose.chance(20) {
		return r.Replace(w.store.read(prefix), w.store.revision, w.now)
	}

	return r.Apply(w.store.since(prefix, r.SyncedRevision()), w.store.revision, w.now)
}

// tradeWith lets two gateways tell each other what they know.
func (w *gatewayWorld) tradeWith(g, other *gatewayProcess) {
	if g == other || g.partedTill > w.now || other.partedTill > w.now || other.frozenTill > w.now {
		return
	}
	w.tell(g, other)
	w.tell(other, g)
}

// tell gives a gateway what another one knows.
func (w *gatewayWorld) tell(from, to *gatewayProcess) {
	if !w.variant.KnowsNobody {
		to.balancer.Membership.Add(from.balancer.Membership.Confirmed(w.now), w.now)
		to.balancer.Membership.RecordExchange(from.name, w.now)
	}
	for _, r := range from.balancer.ReportsFor(balancer.HashName(to.name), 200, w.now) {
		to.balancer.MergeReport(r, w.now)
	}
	if heard := from.endpoints.LastContact(); heard > 0 {
		to.endpoints.RecordPeerContact(heard)
	}
	if w.reachesStore(to) {
		return
	}
	changed := w.copyRange(from.endpoints, to.endpoints)
	changed = w.copyRange(from.outages, to.outages) || changed
	if changed {
		w.rebuild(to)
	}
}

func (w *gatewayWorld) copyRange(from, to *replicator.Replica) bool {
	if !from.HasSynced() {
		return false
	}
	asOf := from.SyncedRevision()
	if w.variant.TakesOldCopies {
		asOf = max(asOf, to.SyncedRevision())
	}

	return to.Replace(from.LiveItems(), asOf, w.now)
}

// rebuild brings what the replicas hold into force.
func (w *gatewayWorld) rebuild(g *gatewayProcess) {
	if !g.endpoints.HasSynced() || !g.outages.HasSynced() {
		return
	}
	out := map[model.DomainID]bool{}
	for _, item := range g.outages.Items() {
		out[model.DomainID(strings.TrimPrefix(item.Key, outageRange))] = !w.variant.IgnoresOutages
	}
	var listed []*cataloguer.Endpoint
	for _, item := range g.endpoints.Items() {
		e, ok := g.known[item.Key]
		if !ok || e.Revision != item.Revision {
			entry := w.entries[item.Revision]
			entry.Revision = item.Revision
			entry.ColdUntil = w.now + entry.ColdRemaining
			e = &entry
			g.known[item.Key] = e
		}
		listed = append(listed, e)
	}
	g.view = cataloguer.NewView(w.configuration, out, listed, g.endpoints.ContentRevision(), w.now)
}
