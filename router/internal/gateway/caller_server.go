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
	"cardamompulley/router/internal/forwarder"
)

const (
	// acceptRetryDelay leaves time for file descriptors to be released after Accept has failed.
	acceptRetryDelay = 5 * timekeeper.Millis(1)
	// lateTimeout is how long after the wait for running requests the refusals on late connections may take. It is shorter
	// than shutdownMargin.
	lateTimeout = 200 * timekeeper.Millis(1)
)

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
	// listening is closed once serve has set the listener, or has failed to.
	listening chan struct{}
	listener  *drainer.Listener

	mu            sync.Mutex
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
		listening:       make(chan struct{}),
	}
}

// serve accepts connections until the listener is closed. It is called once.
func (c *callerServer) serve(l net.Listener) error {
	tracked, err := drainer.NewListener(l, c.conns)
	c.listener = tracked
	close(c.listening)
	if err != nil {
		return err
	}
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

	return c.currentServer.listener.deliver(conn)
}

// ServeHTTP serves a request, or refuses it if the shutdown has begun.
func (c *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.isShuttingDown.Load() {
		// An error means that the connection is closed; then there is no body to wait for.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(forwarder.RefusedBodyTimeout.Duration()))
		c.shutdownHandler.ServeHTTP(w, r)

		return
	}
	c.handler.ServeHTTP(w, r)
}

// shutdown expires connections that wait for a request and waits for running requests until the context ends. Requests that
// begin in the meantime, from callers that do not know of the shutdown yet or whose packets were delayed, get a refusal from
// shutdownHandler. The listener stays open until the running requests have ended; the connections that were accepted last have
// lateTimeout after the end of the context.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.isShuttingDown.Store(true)
	runningErr := c.drain(ctx)
	late, cancel := extend(ctx, lateTimeout)
	defer cancel()
	finishErr := c.finishListener(late)
	lateErr := c.drain(late)

	return errors.Join(runningErr, finishErr, lateErr, c.closeServers())
}

// extend returns a context that ends d after ctx.
func extend(ctx context.Context, d timekeeper.Millis) (context.Context, context.CancelFunc) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(d.Duration(), cancel) })

	return extended, cancel
}

// drain waits until the connections that are open now have ended, or until the context ends.
func (c *callerServer) drain(ctx context.Context) error {
	return c.conns.Drain(ctx, drainer.Waits{First: drainer.FirstRequestTimeout, Next: c.keepAliveTimeout + closeMargin})
}

// finishListener closes the listener once all connections that have arrived are accepted.
func (c *callerServer) finishListener(ctx context.Context) error {
	select {
	case <-c.listening:
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.listener == nil {
		return nil
	}

	return c.listener.Finish(ctx)
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
