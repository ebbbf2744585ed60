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

// gatewayProcess is one gateway: state machines of the product, with the faults that affect it.
type gatewayProcess struct {
	number          int
	name            string
	balancer        *balancer.Balancer
	retryBudget     *budgeter.RetryBudget
	endpointReplica *replicator.Replica
	outageReplica   *replicator.Replica
	view            *cataloguer.View
	knownEndpoints  map[string]*knownEndpoint
	// knownRemoved holds the endpoints that this process has known to have left.
	knownRemoved map[model.EndpointID]bool
	// knownOutSince holds the failure domains that this process has known to be out, and since when they were.
	knownOutSince     map[model.DomainID]timekeeper.Millis
	running           map[model.EndpointID]int
	scheduledFinishes []scheduledFinish
	// startTimes are the start times of all processes of this gateway, including restarts.
	startTimes []timekeeper.Millis
	// inSyncSince is the time since which the gateway has followed the store without interruption.
	inSyncSince timekeeper.Millis
	// disturbedAt is when the process was last started, paused or cut off, or will be.
	disturbedAt           timekeeper.Millis
	pausedUntil           timekeeper.Millis
	storeUnreachableUntil timekeeper.Millis
	partitionedUntil      timekeeper.Millis
	nextStoreRead         timekeeper.Millis
	nextGossip            timekeeper.Millis
}

// knownEndpoint is an endpoint as a gateway has decoded it, and the position of its entry.
type knownEndpoint struct {
	*cataloguer.Endpoint

	position replicator.Position
}

// scheduledFinish is the time at which a request running at an endpoint ends.
type scheduledFinish struct {
	at       timekeeper.Millis
	endpoint model.EndpointID
}

func gatewayName(n int) string { return fmt.Sprintf("gateway-%d", n) }

// startGateway returns a new process of a gateway, which knows itself and the seeds.
func (s *gatewaySimulation) startGateway(n int, previousStarts []timekeeper.Millis) *gatewayProcess {
	var seeds []string
	for i := range min(3, s.deployment.gatewayCount) {
		if !s.variant.IgnoresOtherGateways {
			seeds = append(seeds, gatewayName(i))
		}
	}
	name := gatewayName(n)

	g := &gatewayProcess{
		number: n,
		name:   name,
		balancer: balancer.NewBalancer(
			s.deployment.loadMultiple, name, "domain-0", budgeter.NewMembership(name, seeds, s.now),
		),
		retryBudget:     budgeter.NewRetryBudget(s.deployment.retryLimits),
		endpointReplica: replicator.NewReplica(s.endpointOptions()),
		outageReplica:   replicator.NewReplica(s.outageOptions()),
		knownEndpoints:  map[string]*knownEndpoint{},
		knownRemoved:    map[model.EndpointID]bool{},
		knownOutSince:   map[model.DomainID]timekeeper.Millis{},
		running:         map[model.EndpointID]int{},
		startTimes:      append(previousStarts, s.now),
		inSyncSince:     s.now,
		disturbedAt:     s.now,
	}
	g.balancer.LeaveGrace = leaveGrace

	return g
}

func (s *gatewaySimulation) endpointOptions() replicator.Options {
	o := replicator.Options{
		OutageThreshold: storeOutageThreshold, RewriteTime: rewriteTime, RenewalTime: renewalTime, IsOutdated: s.isOutdatedEntry,
	}
	if s.variant.DropsMissingAtOnce {
		o.RewriteTime = 0
	}
	if s.variant.TrustsRestoredEntries {
		o.IsOutdated = nil
	}

	return o
}

func (s *gatewaySimulation) outageOptions() replicator.Options {
	if s.variant.DropsMissingAtOnce {
		return replicator.Options{}
	}

	return replicator.Options{RewriteTime: rewriteTime}
}

// injectGatewayFaults restarts gateways, pauses them, or cuts them off from the store or from other gateways.
func (s *gatewaySimulation) injectGatewayFaults() {
	c := s.choose
	g := s.gateways[c(len(s.gateways))]
	switch c(120) {
	case 0:
		s.restartGateway(g)
	case 1:
		g.pausedUntil = s.now + c.duration(3*timekeeper.Second)
		g.disturbedAt = max(g.disturbedAt, g.pausedUntil)
	case 2:
		g.storeUnreachableUntil = s.now + c.duration(5*timekeeper.Second)
	case 3:
		g.partitionedUntil = s.now + c.duration(5*timekeeper.Second)
		g.disturbedAt = max(g.disturbedAt, g.partitionedUntil)
	case 4:
		if c.oneIn(4) {
			for _, g := range s.gateways {
				s.restartGateway(g)
			}
		}
	}
}

// restartGateway replaces the process of a gateway, with at most two starts within two windows of the retry budget. Each new
// process forgets the retries of its predecessors, so more frequent restarts could exceed the budget.
func (s *gatewaySimulation) restartGateway(g *gatewayProcess) {
	if n := len(g.startTimes); n > 1 && s.now-g.startTimes[n-2] < 2*s.deployment.retryLimits.Window {
		return
	}
	s.gateways[g.number] = s.startGateway(g.number, g.startTimes)
}

// stepGateway runs what is due at a gateway, unless it is paused.
func (s *gatewaySimulation) stepGateway(g *gatewayProcess) {
	if g.pausedUntil > s.now {
		g.inSyncSince = s.now

		return
	}
	g.recordFinishes(s.now)
	if g.nextStoreRead <= s.now {
		g.nextStoreRead = s.now + 50 + s.choose.duration(300)
		s.syncWithStore(g)
	}
	if g.nextGossip <= s.now {
		g.nextGossip = s.now + 125
		s.exchangeGossip(g, s.gateways[s.choose(len(s.gateways))])
	}
	isOutageChanged := g.outageReplica.ApplyDue(s.now)
	if g.endpointReplica.ApplyDue(s.now) || isOutageChanged {
		s.rebuildView(g)
	}
	g.balancer.ExpireReports(s.now)
}

func (g *gatewayProcess) recordFinishes(now timekeeper.Millis) {
	pending := g.scheduledFinishes[:0]
	for _, finish := range g.scheduledFinishes {
		if finish.at > now {
			pending = append(pending, finish)
			continue
		}
		g.balancer.RecordFinish(finish.endpoint)
		g.running[finish.endpoint]--
	}
	g.scheduledFinishes = pending
}

// canReachStore reports whether the store answers a gateway.
func (s *gatewaySimulation) canReachStore(g *gatewayProcess) bool {
	return g.storeUnreachableUntil <= s.now && s.storeDownUntil <= s.now
}

func (s *gatewaySimulation) syncWithStore(g *gatewayProcess) {
	if !s.canReachStore(g) {
		g.inSyncSince = s.now

		return
	}
	changed := s.syncReplica(g.endpointReplica, endpointPrefix)
	changed = s.syncReplica(g.outageReplica, outagePrefix) || changed
	if changed {
		s.rebuildView(g)
	}
}

// syncReplica updates a replica from the store, by the changes since the last update or, if the store was restored and
// sometimes without need, by a full read. It reports whether anything changed.
func (s *gatewaySimulation) syncReplica(replica *replicator.Replica, prefix string) bool {
	replica.RecordContact(s.now)
	at := s.positionFor(s.store.position())
	if !replica.HasSynced() || replica.Synced().Era != at.Era || s.choose.oneIn(20) {
		return replica.Replace(s.itemsFor(s.store.read(prefix)), at, s.now, s.now)
	}

	return replica.Apply(s.itemsFor(s.store.changesSince(prefix, replica.Synced().Revision)), at, s.now, s.now)
}

// positionFor returns a position as gateways see it.
func (s *gatewaySimulation) positionFor(p replicator.Position) replicator.Position {
	if s.variant.IgnoresEras {
		p.Era = 0
	}

	return p
}

// itemsFor returns items as gateways see them.
func (s *gatewaySimulation) itemsFor(items []replicator.Item) []replicator.Item {
	for i := range items {
		items[i].Position = s.positionFor(items[i].Position)
	}

	return items
}

// rebuildView builds the gateway's view from its replicas, once both have synced.
func (s *gatewaySimulation) rebuildView(g *gatewayProcess) {
	if !g.endpointReplica.HasSynced() || !g.outageReplica.HasSynced() {
		return
	}
	domainsOut := map[model.DomainID]bool{}
	for _, item := range g.outageReplica.Items() {
		domainsOut[model.DomainID(strings.TrimPrefix(item.Key, outagePrefix))] = !s.variant.IgnoresDomainOutages
	}
	var endpoints []*cataloguer.Endpoint
	for _, item := range g.endpointReplica.Items() {
		endpoint, ok := g.knownEndpoints[item.Key]
		if !ok || endpoint.position != item.Position {
			entry := s.entryOf(item)
			entry.ColdUntil = s.now + entry.ColdRemaining
			endpoint = &knownEndpoint{Endpoint: &entry, position: item.Position}
			g.knownEndpoints[item.Key] = endpoint
		}
		endpoints = append(endpoints, endpoint.Endpoint)
	}
	g.view = cataloguer.NewView(s.configuration, domainsOut, endpoints, s.now)
	s.recordKnownState(g)
}
