package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/timekeeper"
)

// acceptPause lets descriptors become free after a connection could not be accepted.
const acceptPause = 5 * timekeeper.Millis(1)

// Limits in force until a configuration is known.
var firstLimits = cataloguer.Limits{
	MaxHeaderBytes: 64 << 10,
	HeaderTimeout:  5 * timekeeper.Second,
	IdleTimeout:    60 * timekeeper.Second,
}

// callerServer serves callers; each connection is held to the limits in force when it was accepted.
type callerServer struct {
	handler http.Handler
	// late refuses the requests of connections that come while the process ends.
	late   http.Handler
	limits func() cataloguer.Limits
	// report is told of connections that could not be accepted.
	report func(error)

	mu       sync.Mutex
	listener net.Listener
	current  *limitedServer
	all      []*limitedServer
}

func newCallerServer(handler, late http.Handler, limits func() cataloguer.Limits, report func(error)) *callerServer {
	return &callerServer{handler: handler, late: late, limits: limits, report: report}
}

// serve accepts connections until the listener closes.
func (c *callerServer) serve(l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			c.report(err)
			time.Sleep(acceptPause.Duration())

			continue
		}
		if !c.dispatch(conn) {
			_ = conn.Close()
		}
	}
}

func (c *callerServer) dispatch(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits := c.limits(); c.current == nil || c.current.limits != limits {
		c.current = openLimitedServer(c.handler, limits, conn.LocalAddr())
		c.all = append(c.all, c.current)
	}

	return c.current.conns.deliver(conn)
}

// shutdown closes idle connections and waits for running requests. Connections that come meanwhile, since their packets were
// late or their callers have not heard, get a refusal; only then the listener closes.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.handler = c.late
	c.mu.Unlock()
	earlier := c.renew()
	faults := []error{end(ctx, earlier)}
	c.mu.Lock()
	if c.listener != nil {
		faults = append(faults, c.listener.Close())
	}
	c.mu.Unlock()

	return errors.Join(append(faults, end(ctx, c.renew()))...)
}

// renew returns the servers so far; connections from now on get new ones.
func (c *callerServer) renew() []*limitedServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.all
	c.all, c.current = nil, nil

	return all
}

// end ends servers side by side: none may take requests while another waits for its own.
func end(ctx context.Context, all []*limitedServer) error {
	faults := make([]error, len(all))
	var w conc.WaitGroup
	for i, n := range all {
		w.Go(func() { faults[i] = n.end(ctx) })
	}
	w.Wait()

	return errors.Join(faults...)
}

// connListener is a listener whose connections were accepted by another one.
type connListener struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{}), address: address}
}

func (h *connListener) deliver(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.done:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.done) })

	return nil
}

// Addr returns the address of the listener that the connections come from.
func (h *connListener) Addr() net.Addr {
	return h.address
}
