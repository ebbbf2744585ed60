package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/dialer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

var (
	dials  = metrics.NewCounter("endpoint_connections_opened_total")
	reuses = metrics.NewCounter("endpoint_connections_reused_total")
)

const (
	// defaultIdle is how long a connection is kept when its endpoint names no idle timeout.
	defaultIdle = 4 * timekeeper.Second
	// idleMargin is kept between our use of an idle connection and the endpoint's close of it.
	idleMargin = 500 * timekeeper.Millis(1)
)

// ErrDial is matched by a failure before anything was sent.
var ErrDial = errors.New("connector: cannot connect")

// Terms are the bounds of a pool.
type Terms struct {
	DialTimeout timekeeper.Millis
	// Silence is how long a peer may leave sent bytes or probes unacknowledged.
	Silence timekeeper.Millis
}

// Pool keeps idle connections by endpoint.
type Pool struct {
	clock  timekeeper.Clock
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[model.EndpointID][]*Conn
}

// NewPool returns an empty pool.
func NewPool(t Terms, clock timekeeper.Clock) *Pool {
	return &Pool{
		clock:  clock,
		dialer: dialer.NewDialer(t.DialTimeout, t.Silence),
		idle:   map[model.EndpointID][]*Conn{},
	}
}

// Get returns an idle connection to an endpoint or a new one; errors match ErrDial.
func (p *Pool) Get(ctx context.Context, id model.EndpointID, address string) (*Conn, error) {
	for {
		c := p.take(id)
		if c == nil {
			break
		}
		if c.expires > p.clock.Now() && c.idleUsable() {
			reuses.Inc()
			c.Reused = true

			return c, nil
		}
		c.Close()
	}

	return p.dial(ctx, id, address)
}

// Probe tells whether somebody listens at an endpoint's address; errors match ErrDial.
func (p *Pool) Probe(ctx context.Context, id model.EndpointID, address string) error {
	c, err := p.dial(ctx, id, address)
	if err != nil {
		return err
	}
	p.Put(c)

	return nil
}

func (p *Pool) dial(ctx context.Context, id model.EndpointID, address string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDial, id, err)
	}
	dials.Inc()

	return newConn(id, raw), nil
}

func (p *Pool) take(id model.EndpointID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[id]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[id] = cs[:len(cs)-1]

	return c
}

// Put keeps a connection whose answer was read to its end.
func (p *Pool) Put(c *Conn) {
	now := p.clock.Now()
	c.expires = now + c.keep - min(idleMargin, c.keep/4)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.id] = append(p.idle[c.id], c)
}

// Sweep closes idle connections that have expired or whose endpoint is not known.
func (p *Pool) Sweep(known func(model.EndpointID) bool) {
	now := p.clock.Now()
	for _, c := range p.expired(now, known) {
		c.Close()
	}
}

func (p *Pool) expired(now timekeeper.Millis, known func(model.EndpointID) bool) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*Conn
	for id, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if known(id) && c.expires > now {
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
