package gateway

import (
	"context"
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
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/forwarder"
)

const (
	dialTimeout = 600 * timekeeper.Millis(1)
	// lapseBeats is how many heartbeats of silence make a store's deletion doubtful.
	lapseBeats    = 2
	sweepInterval = 500 * timekeeper.Millis(1)
)

// Gateway is one process that routes straight to endpoints.
type Gateway struct {
	settings Settings
	clock    timekeeper.Clock
	log      logger.Logger
	store    *platform.Store
	pool     *connector.Pool
	forward  *forwarder.Forwarder
	view     atomic.Pointer[cataloguer.View]
	stopping atomic.Bool
	// known is closed with the first whole state.
	known chan struct{}
	peers *peers
	// control counts the bytes between gateways.
	control counter.Counter

	mu        sync.Mutex
	operator  *replicator.Replica
	endpoints *replicator.Replica
	// lost is true while the store cannot be followed.
	lost    bool
	listing *listing
	started timekeeper.Millis
}

// NewGateway returns a gateway that knows nothing yet.
func NewGateway(s Settings, clock timekeeper.Clock, log logger.Logger) *Gateway {
	pool := connector.NewPool(connector.Terms{DialTimeout: dialTimeout, Silence: s.Contact / 2}, clock)
	b := balancer.NewBalancer(s.LoadMultiple, s.PeerListen, model.DomainID(s.Domain), budgeter.NewRoster(s.PeerListen, nil, clock.Now()))
	r := budgeter.NewRetries(budgeter.Terms{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow})
	g := &Gateway{
		settings:  s,
		clock:     clock,
		log:       log,
		store:     platform.NewStore(s.Store),
		pool:      pool,
		forward:   forwarder.NewForwarder(b, r, pool, clock, log),
		operator:  replicator.NewReplica(0),
		endpoints: replicator.NewReplica(lapseBeats * s.Heartbeat),
		listing:   newListing(),
		started:   clock.Now(),
		known:     make(chan struct{}),
	}
	g.peers = newPeers(g)
	g.forward.View = g.view.Load
	g.forward.Known = g.known
	g.forward.Closing = g.stopping.Load

	return g
}

// Ready tells whether callers may come.
func (g *Gateway) Ready() bool {
	if g.stopping.Load() {
		return false
	}

	return g.view.Load() != nil
}

// Run keeps the state until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var w conc.WaitGroup
	w.Go(func() { g.follow(ctx) })
	w.Go(func() { g.peers.run(ctx) })
	w.Go(func() { g.sweep(ctx) })
	w.Wait()
}

// sweep forgets what is no longer needed.
func (g *Gateway) sweep(ctx context.Context) {
	for timekeeper.Sleep(ctx, sweepInterval) {
		g.mu.Lock()
		if g.endpoints.ApplyDeferredDeletions(g.clock.Now()) {
			g.rebuild()
		}
		g.mu.Unlock()
		v := g.view.Load()
		if v == nil {
			continue
		}
		known := func(id model.EndpointID) bool { return v.Endpoint(id) != nil }
		g.peers.forget()
		g.pool.Sweep(known)
		var due []*cataloguer.Endpoint
		var doubted, trusted []model.EndpointID
		g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
			b.Expire(g.clock.Now())
			b.Keep(known)
			due = b.Due(v, g.clock.Now())
			doubted, trusted = b.Grades.Review(g.clock.Now())
		})
		g.logGrades(doubted, trusted)
		for _, e := range due {
			go g.probe(ctx, e)
		}
	}
}

func (g *Gateway) logGrades(doubted, trusted []model.EndpointID) {
	for _, id := range doubted {
		g.log.Write(logger.EventOutlierDetected, logger.String("endpoint", id))
	}
	for _, id := range trusted {
		g.log.Write(logger.EventOutlierRecovered, logger.String("endpoint", id))
	}
}

// probe finds out whether a blocked endpoint can be reached again.
func (g *Gateway) probe(ctx context.Context, e *cataloguer.Endpoint) {
	err := g.pool.Probe(ctx, e.ID, e.Address)
	g.forward.Update(func(b *balancer.Balancer, _ *budgeter.Retries) {
		if err == nil {
			b.Succeed(e.ID)
		} else {
			b.Fail(e.ID, g.clock.Now())
		}
	})
	if err == nil {
		g.log.Write(logger.EventEndpointUp, logger.String("endpoint", e.ID))
	} else {
		g.log.Write(logger.EventEndpointDown, logger.String("endpoint", e.ID), logger.Err(err))
	}
}
