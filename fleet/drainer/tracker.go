package drainer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"cardamompulley/fleet/timekeeper"
)

// FirstRequestTimeout is how long a shutdown waits for the first request of a connection; it leaves time for one retransmission
// of a lost packet.
const FirstRequestTimeout = 500 * timekeeper.Millis(1)

// drainPollInterval is how often Drain looks for connections that wait for a request.
const drainPollInterval = 20 * timekeeper.Millis(1)

// Tracker holds the open connections of a server. It is safe for concurrent use.
type Tracker struct {
	// OnClosed is called once with the final state of each connection that the server closes. It must be set before Track
	// is called.
	OnClosed func(Closed)

	clock timekeeper.Clock
	// closesAfterResponse is true once connections must not carry another request.
	closesAfterResponse atomic.Bool

	mu sync.Mutex
	// accepted is the number of connections that have been tracked so far.
	accepted int64
	conns    map[*Conn]struct{}
}

// NewTracker returns a tracker without connections.
func NewTracker(clock timekeeper.Clock) *Tracker {
	return &Tracker{OnClosed: func(Closed) {}, clock: clock, conns: map[*Conn]struct{}{}}
}

// Track adds a connection that has just been accepted. It is removed when it is closed.
func (t *Tracker) Track(conn net.Conn) *Conn {
	c := newConn(conn, t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted++
	c.number = t.accepted
	t.conns[c] = struct{}{}

	return c
}

// Len returns the number of open connections.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.conns)
}

// CloseAfterResponse makes the server close each connection as soon as its current request has been answered. Connections
// whose last response has been sent already are not affected.
func (t *Tracker) CloseAfterResponse() {
	t.closesAfterResponse.Store(true)
}

// Waits are the times for which connections may wait for a request during shutdown.
type Waits struct {
	// First applies to connections that have not sent a request yet.
	First timekeeper.Millis
	// Next applies to connections on which a request has been answered.
	Next timekeeper.Millis
}

// ExpireWaiting expires the reads of the connections that have waited for a request for longer than w allows.
func (t *Tracker) ExpireWaiting(w Waits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.expireIfWaiting(w)
	}
}

// Drain expires the connections that wait for a request, as ExpireWaiting does, until none of those that are open now is left.
// It does not wait for connections that are accepted meanwhile, which may never end. It returns the error of the context if
// that ends first, unless the connections that are left have been answered.
func (t *Tracker) Drain(ctx context.Context, w Waits) error {
	for last := t.lastAccepted(); t.isAnyOpen(last); {
		t.ExpireWaiting(w)
		if !timekeeper.Sleep(ctx, drainPollInterval) {
			return t.unansweredError(ctx, last)
		}
	}

	return nil
}

// unansweredError returns the error of the context if one of the connections up to the given number has got no answer.
func (t *Tracker) unansweredError(ctx context.Context, last int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.number <= last && !c.isAnswered() {
			return ctx.Err()
		}
	}

	return nil
}

// lastAccepted returns the number of the connection that was tracked last.
func (t *Tracker) lastAccepted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.accepted
}

// isAnyOpen reports whether one of the connections up to the given number is open.
func (t *Tracker) isAnyOpen(last int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.number <= last {
			return true
		}
	}

	return false
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}
