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
	// shutdownHandler refuses requests on connections that are accepted during shutdown.
	shutdownHandler http.Handler
	limits          func() cataloguer.Limits
	onAcceptError   func(error)
	conns           *drainer.Tracker

	mu            sync.Mutex
	listener      net.Listener
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
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			c.onAcceptError(err)
			time.Sleep(acceptRetryDelay.Duration())

			continue
		}
		tracked := c.conns.Track(conn)
		if !c.dispatch(tracked) {
			_ = tracked.Close()
		}
	}
}

func (c *callerServer) dispatch(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits := c.limits(); c.currentServer == nil || c.currentServer.limits != limits {
		c.currentServer = startLimitedServer(c.handler, limits, conn.LocalAddr())
		c.servers = append(c.servers, c.currentServer)
	}

	return c.currentServer.conns.deliver(conn)
}

// shutdown closes idle connections and waits for running requests until the context ends. Connections accepted in the
// meantime, from callers that do not know of the shutdown yet or whose packets were delayed, get a refusal from
// shutdownHandler. The listener stays open until the running requests have ended.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.handler = c.shutdownHandler
	c.mu.Unlock()
	earlier := c.detachServers()
	errs := []error{shutdownAll(ctx, earlier)}
	c.mu.Lock()
	if c.listener != nil {
		errs = append(errs, c.listener.Close())
	}
	c.mu.Unlock()

	return errors.Join(append(errs, shutdownAll(ctx, c.detachServers()))...)
}

// detachServers removes and returns the current servers; connections accepted later get new servers.
func (c *callerServer) detachServers() []*limitedServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	detached := c.servers
	c.servers, c.currentServer = nil, nil

	return detached
}

// shutdownAll shuts servers down concurrently: one after the other, later servers would accept requests while earlier ones
// wait for theirs.
func shutdownAll(ctx context.Context, servers []*limitedServer) error {
	errs := make([]error, len(servers))
	var w conc.WaitGroup
	for i, s := range servers {
		w.Go(func() { errs[i] = s.shutdown(ctx) })
	}
	w.Wait()

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
