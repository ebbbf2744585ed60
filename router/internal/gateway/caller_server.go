package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/timekeeper"
)

// acceptRetryDelay leaves time for file descriptors to be released after Accept has failed.
const acceptRetryDelay = 5 * timekeeper.Millis(1)

// initialLimits apply until the first configuration arrives.
var initialLimits = cataloguer.Limits{
	MaxHeaderBytes: 64 << 10,
	HeaderTimeout:  5 * timekeeper.Second,
	IdleTimeout:    60 * timekeeper.Second,
}

// callerServer serves callers; each connection keeps the limits that were in force when it was accepted.
type callerServer struct {
	handler http.Handler
	// shutdownHandler refuses the requests that begin during shutdown.
	shutdownHandler http.Handler
	limits          func() cataloguer.Limits
	onAcceptError   func(error)
	conns           *drainer.Tracker
	// keepAliveTimeout is how long callers may reuse an idle connection; 0 leaves it to them.
	keepAliveTimeout timekeeper.Millis
	isShuttingDown   atomic.Bool

	mu            sync.Mutex
	listener      *drainer.Listener
	currentServer *limitedServer
	servers       []*limitedServer
}

func newCallerServer(handler, shutdownHandler http.Handler, limits func() cataloguer.Limits, onAcceptError func(error)) *callerServer {
	return &callerServer{
		handler:         handler,
		shutdownHandler: shutdownHandler,
		limits:          limits,
		onAcceptError:   onAcceptError,
		conns:           drainer.NewTracker(timekeeper.NewSystemClock()),
	}
}

// serve accepts connections until the listener is closed.
func (c *callerServer) serve(l net.Listener) error {
	tracked, err := drainer.NewListener(l, c.conns)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.listener = tracked
	c.mu.Unlock()
	for {
		conn, err := tracked.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			c.onAcceptError(err)
			time.Sleep(acceptRetryDelay.Duration())

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
	if limits := c.limits(); c.currentServer == nil || c.currentServer.limits != limits {
		c.currentServer = startLimitedServer(c, limits, c.keepAliveTimeout, conn.LocalAddr())
		c.servers = append(c.servers, c.currentServer)
	}

	return c.currentServer.conns.deliver(conn)
}

// ServeHTTP serves a request, or refuses it if the shutdown has begun.
func (c *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.isShuttingDown.Load() {
		c.shutdownHandler.ServeHTTP(w, r)

		return
	}
	c.handler.ServeHTTP(w, r)
}

// shutdown closes connections that wait for a request and waits for running requests until the context ends. Requests that
// begin in the meantime, from callers that do not know of the shutdown yet or whose packets were delayed, get a refusal from
// shutdownHandler. The listener stays open until the running requests have ended.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.isShuttingDown.Store(true)
	err := errors.Join(c.drain(ctx), c.finishListener())
	if err == nil {
		err = c.drain(ctx)
	}

	return errors.Join(err, c.closeServers())
}

// drain waits until no connection is open, or until the context ends.
func (c *callerServer) drain(ctx context.Context) error {
	return c.conns.Drain(ctx, drainer.Waits{First: drainer.FirstRequestTimeout, Next: c.keepAliveTimeout + closeMargin})
}

// finishListener closes the listener once all connections that have arrived are accepted.
func (c *callerServer) finishListener() error {
	c.mu.Lock()
	l := c.listener
	c.mu.Unlock()
	if l == nil {
		return nil
	}

	return l.Finish()
}

// closeServers closes the connections that are still open.
func (c *callerServer) closeServers() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for _, s := range c.servers {
		errs = append(errs, s.server.Close())
	}

	return errors.Join(errs...)
}

// connListener is a net.Listener for connections that another listener has accepted.
type connListener struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{}), address: address}
}

// deliver passes a connection to Accept; it returns false if the listener is closed.
func (l *connListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept waits for the next delivered connection; it returns net.ErrClosed after Close.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. It may be called more than once and never fails.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })

	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (l *connListener) Addr() net.Addr {
	return l.address
}
