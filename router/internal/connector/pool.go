package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/dialer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

var (
	connectionsOpened = metrics.NewCounter("endpoint_connections_opened_total")
	connectionsReused = metrics.NewCounter("endpoint_connections_reused_total")
)

const (
	// defaultIdleTimeout applies when an endpoint announces no idle timeout.
	defaultIdleTimeout = 4 * timekeeper.Second
	// idleTimeoutMargin is how long before the endpoint's idle timeout a connection expires in the pool, so that it is not
	// reused just as the endpoint closes it. For short idle timeouts the margin is a quarter of the timeout.
	idleTimeoutMargin = 500 * timekeeper.Millis(1)
)

// ErrDial reports that no connection to an endpoint could be opened, so that nothing was sent.
var ErrDial = errors.New("connector: cannot connect")

// Timeouts are the timeouts of a pool's connections.
type Timeouts struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout timekeeper.Millis
	// AckTimeout is how long an endpoint may leave sent bytes or keep-alive probes unacknowledged before the connection is
	// dropped.
	AckTimeout timekeeper.Millis
}

// Pool holds idle connections, grouped by endpoint. It is safe for concurrent use.
type Pool struct {
	clock timekeeper.Clock
	// dialContext opens a network connection.
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[model.EndpointID][]*Conn
}

// NewPool returns an empty pool.
func NewPool(t Timeouts, clock timekeeper.Clock) *Pool {
	return &Pool{
		clock:       clock,
		dialContext: dialer.NewDialer(t.DialTimeout, t.AckTimeout).DialContext,
		idle:        map[model.EndpointID][]*Conn{},
	}
}

// Get returns an idle connection to an endpoint, or opens one. The connection closes when ctx ends, unless it is back in the
// pool. Errors match ErrDial.
func (p *Pool) Get(ctx context.Context, id model.EndpointID, address string) (*Conn, error) {
	c := p.takeUsable(id)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, id, address); err != nil {
			return nil, err
		}
	}
	c.bind(ctx)

	return c, nil
}

// takeUsable removes and returns an idle connection that can carry a request, or returns nil.
func (p *Pool) takeUsable(id model.EndpointID) *Conn {
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil
		}
		if c.expiresAt > p.clock.Now() && c.isUsable() {
			connectionsReused.Inc()
			c.IsReused = true

			return c
		}
		c.Close()
	}
}

// Probe opens a connection to an endpoint to check that it accepts connections, and keeps it in the pool. Errors match
// ErrDial.
func (p *Pool) Probe(ctx context.Context, id model.EndpointID, address string) error {
	c, err := p.dial(ctx, id, address)
	if err != nil {
		return err
	}
	p.Put(c)

	return nil
}

const (
	// aliveCheckDelay is how long a new connection must stay open to show that an endpoint is alive: a process that is about to
	// end may still accept.
	aliveCheckDelay = 200 * timekeeper.Millis(1)
	// maxAliveChecks limits the connections of one check. A live endpoint, too, closes connections beyond its limit.
	maxAliveChecks = 2
)

// CheckAlive opens a connection to an endpoint, waits whether the endpoint keeps it open, and puts it into the pool. It tries again
// if the endpoint closes the connection, or does not answer because a packet may have been lost. It returns an error only if no
// connection can be opened; errors match ErrDial.
func (p *Pool) CheckAlive(ctx context.Context, id model.EndpointID, address string) error {
	var err error
	for range maxAliveChecks {
		var c *Conn
		c, err = p.dial(ctx, id, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		if err != nil {
			continue
		}
		timekeeper.Sleep(ctx, aliveCheckDelay)
		if c.isUsable() {
			p.Put(c)

			return nil
		}
		c.Close()
	}

	return err
}

func (p *Pool) dial(ctx context.Context, id model.EndpointID, address string) (*Conn, error) {
	c, err := p.dialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDial, id, err)
	}
	connectionsOpened.Inc()

	return newConn(id, c), nil
}

// popIdle removes and returns the idle connection of an endpoint that was used last, or nil.
func (p *Pool) popIdle(id model.EndpointID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[id] = conns[:len(conns)-1]

	return c
}

// Put returns a connection to the pool. The response to its last request must have been read to its end. If the context of
// that request has ended, the connection is closed.
func (p *Pool) Put(c *Conn) {
	if !c.unbind() {
		c.Close()

		return
	}
	c.unbind = notBound
	now := p.clock.Now()
	c.expiresAt = now + c.idleTimeout - min(idleTimeoutMargin, c.idleTimeout/4)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// Prune closes idle connections that have expired or whose endpoint is not known any more.
func (p *Pool) Prune(isKnown func(model.EndpointID) bool) {
	now := p.clock.Now()
	for _, c := range p.removeExpired(now, isKnown) {
		c.Close()
	}
}

// removeExpired removes the connections to be closed from the pool and returns them.
func (p *Pool) removeExpired(now timekeeper.Millis, isKnown func(model.EndpointID) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*Conn
	for id, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if isKnown(id) && c.expiresAt > now {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = kept
		}
	}

	return expired
}
