package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/counter"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/sourcer"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/forwarder"
)

const (
	dialTimeout = 600 * timekeeper.Millis(1)
	// outageHeartbeats is the length of a store outage, in heartbeats, after which endpoint entries may have been deleted only
	// because the endpoints could not renew them.
	outageHeartbeats = 2
	// renewalHeartbeats is the age, in heartbeats, beyond which the store holds no entry that its endpoint has not renewed.
	renewalHeartbeats = 4
	// operatorRewriteTime and endpointRewriteTime are how long operators and endpoints have to write again what a restored store
	// has lost.
	operatorRewriteTime = 10 * timekeeper.Second
	endpointRewriteTime = 2 * timekeeper.Second
	// drainMargin is the part of the drain time that is left for requests on their way to an endpoint that turns out to be gone.
	drainMargin = 150 * timekeeper.Millis(1)
	// leaveMargin is the part of the drain time that is left for requests on their way to an endpoint that has said that it leaves.
	leaveMargin         = timekeeper.Second
	maintenanceInterval = 500 * timekeeper.Millis(1)
	// minDueInterval is the shortest time between two looks for what is due.
	minDueInterval = 20 * timekeeper.Millis(1)
)

// Gateway is the state of one gateway process, which proxies requests directly to endpoints.
type Gateway struct {
	settings       Settings
	clock          timekeeper.Clock
	log            logger.Logger
	store          *platform.Store
	pool           *connector.Pool
	forwarder      *forwarder.Forwarder
	view           atomic.Pointer[cataloguer.View]
	isShuttingDown atomic.Bool
	// viewReady is closed when the first view, of a configuration and a list of endpoints, is in force.
	viewReady chan struct{}
	peers     *peers
	// endpointsKnown is when the list of endpoints was last known to be whole. It is written with mu held, and read without by requests.
	endpointsKnown atomic.Pointer[listTime]
	// controlTraffic counts the bytes exchanged with other gateways; the metric is control_bytes_total.
	controlTraffic counter.Counter

	mu              sync.Mutex
	operatorReplica *replicator.Replica
	endpointReplica *replicator.Replica
	// isStoreUnreachable is true while the store does not answer.
	isStoreUnreachable bool
	// storePosition is that of the store's last answer.
	storePosition replicator.Position
	decoded       *decodedState
	// storeKnown is the time up to which both ranges are known as the store held them.
	storeKnown listTime
	// changed is closed and replaced when a replica has learned of changes.
	changed chan struct{}
	// lastFollowedAt is when another gateway last followed this one.
	lastFollowedAt timekeeper.Millis
	sourcer        *sourcer.Sourcer
	refresh        refreshState
	startedAt      timekeeper.Millis
	firstState     firstState
}

// NewGateway returns a gateway without a view; it is not ready until Run has obtained one.
func NewGateway(s Settings, clock timekeeper.Clock, log logger.Logger) *Gateway {
	pool := connector.NewPool(connector.Timeouts{DialTimeout: dialTimeout, AckTimeout: s.RecoveryTime / 2}, clock)
	b := balancer.NewBalancer(s.LoadMultiple, s.PeerListen, model.DomainID(s.Domain), budgeter.NewMembership(s.PeerListen, nil, clock.Now()))
	if s.LoadSpread {
		b.Random = rand.Float64
	}
	b.AvoidsMisses = s.PlacesByCost
	b.RenewalTime = renewalHeartbeats * s.HeartbeatInterval
	b.LeaveGrace = max(s.DrainTime-leaveMargin, 0)
	r := budgeter.NewRetryBudget(budgeter.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow})
	g := &Gateway{
		settings:  s,
		clock:     clock,
		log:       log,
		store:     platform.NewStore(s.StoreAddress),
		pool:      pool,
		forwarder: forwarder.NewForwarder(b, r, s.resumeLimits(), pool, clock, log),
		operatorReplica: replicator.NewReplica(replicator.Options{
			RewriteTime: operatorRewriteTime, RenewalTime: operatorRewriteTime, IsOutdated: isOutdatedConfiguration,
		}),
		endpointReplica: replicator.NewReplica(replicator.Options{
			OutageThreshold: outageHeartbeats * s.HeartbeatInterval,
			RewriteTime:     min(endpointRewriteTime, max(s.DrainTime-drainMargin, 0)),
			RenewalTime:     renewalHeartbeats * s.HeartbeatInterval,
			IsOutdated:      isOutdatedEntry,
		}),
		decoded:   newDecodedState(),
		changed:   make(chan struct{}),
		sourcer:   sourcer.NewSourcer(s.PeerListen, sourcer.NewTiming(min(s.DrainTime, s.ConfigurationTime)), clock.Now()),
		startedAt: clock.Now(),
		viewReady: make(chan struct{}),
	}
	g.forwarder.LimitBodyMemory(int64(bodyMemoryFraction * float64(s.MemoryMB) * (1 << 20)))
	g.endpointsKnown.Store(&listTime{})
	g.peers = newPeers(g)
	g.forwarder.Prioritizes = s.Prioritizes
	g.forwarder.CurrentView = g.view.Load
	g.forwarder.StateReady = g.viewReady
	g.forwarder.StateOutlook = g.stateOutlook
	g.forwarder.ThrottlePlainServices = s.ThrottlePlainServices
	g.forwarder.StoreSilence = g.storeSilence
	g.forwarder.AskOrigin = g.peers.askOrigin
	g.forwarder.ListReader = g.peers.listReader
	g.forwarder.AskKept = g.peers.askKept
	g.forwarder.RefreshEndpoints = g.refreshEndpoints
	g.forwarder.SendOrigins = g.peers.originSender.wake
	g.forwarder.IsShuttingDown = g.isShuttingDown.Load

	return g
}

// IsReady reports whether the gateway can serve callers: it has a view and is not shutting down.
func (g *Gateway) IsReady() bool {
	if g.isShuttingDown.Load() {
		return false
	}

	return g.view.Load() != nil
}

// Run follows the store, gossips with other gateways and maintains the state until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var w conc.WaitGroup
	w.Go(func() { g.followStore(ctx) })
	w.Go(func() { g.peers.run(ctx) })
	w.Go(func() { g.peers.runOriginSender(ctx) })
	w.Go(func() { g.maintain(ctx) })
	w.Go(func() { g.applyDueChanges(ctx) })
	w.Wait()
}

// applyDueChanges ends the periods for which replicas keep or hold back items, when they are over.
func (g *Gateway) applyDueChanges(ctx context.Context) {
	for timekeeper.Sleep(ctx, g.untilDue()) {
		g.mu.Lock()
		now := g.clock.Now()
		isOperatorChanged := g.operatorReplica.ApplyDue(now)
		if g.endpointReplica.ApplyDue(now) || isOperatorChanged {
			g.rebuildView()
		}
		g.mu.Unlock()
	}
}

// untilDue returns the time until a replica has something due, and maintenanceInterval at the most.
func (g *Gateway) untilDue() timekeeper.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := maintenanceInterval
	for _, r := range []*replicator.Replica{g.operatorReplica, g.endpointReplica} {
		if next := r.NextDue(); next > 0 {
			until = min(until, max(next-g.clock.Now(), minDueInterval))
		}
	}

	return until
}

// maintain periodically drops expired state, logs outliers and probes endpoints whose circuit breaker is open.
func (g *Gateway) maintain(ctx context.Context) {
	for timekeeper.Sleep(ctx, maintenanceInterval) {
		v := g.view.Load()
		if v == nil {
			continue
		}
		isListed := func(id model.EndpointID) bool { return v.Endpoint(id) != nil }
		g.peers.removeStale()
		g.forwarder.ExpireLosses()
		g.forwarder.ExpirePriorities()
		g.forwarder.MaintainRooms()
		g.forwarder.ExpireOrigins()
		g.peers.originSender.wake()
		g.pool.Prune(isListed)
		var due []*cataloguer.Endpoint
		var outliers, recovered []model.EndpointID
		g.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
			b.ExpireReports(g.clock.Now())
			b.Prune(v, g.clock.Now())
			due = b.StartProbes(v, g.clock.Now())
			outliers, recovered = b.Outliers.Evaluate(g.clock.Now())
		})
		g.logOutliers(outliers, recovered)
		for _, e := range due {
			go g.probe(ctx, e)
		}
	}
}

func (g *Gateway) logOutliers(outliers, recovered []model.EndpointID) {
	for _, id := range outliers {
		g.log.Write(logger.EventOutlierDetected, logger.String("endpoint", id))
	}
	for _, id := range recovered {
		g.log.Write(logger.EventOutlierRecovered, logger.String("endpoint", id))
	}
}

// probe dials an endpoint whose circuit breaker is open and reports the result to the balancer.
func (g *Gateway) probe(ctx context.Context, e *cataloguer.Endpoint) {
	err := g.pool.Probe(ctx, e.ID, e.Address)
	g.forwarder.RecordDialError(e, err)
	g.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		if err == nil {
			b.RecordSuccess(e.ID)
		} else {
			b.RecordFailure(e.ID, g.clock.Now())
		}
	})
	if err == nil {
		g.log.Write(logger.EventEndpointUp, logger.String("endpoint", e.ID))
	} else {
		g.log.Write(logger.EventEndpointDown, logger.String("endpoint", e.ID), logger.Err(err))
	}
}
