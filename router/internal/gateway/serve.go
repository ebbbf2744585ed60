package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
)

const (
	// memoryLimitFraction of the configured memory is the limit of the Go runtime; the rest is left for unread bytes.
	memoryLimitFraction = 0.7
	// bodyMemoryFraction of the configured memory may be taken by request bodies.
	bodyMemoryFraction = 0.25
	// readHeaderTimeout is how long the headers of a readiness, metrics or gossip request may take to arrive.
	readHeaderTimeout = 5 * timekeeper.Second
	// shutdownMargin is reserved at the end of the shutdown grace, after the wait for running requests.
	shutdownMargin = 300 * timekeeper.Millis(1)
)

// Serve runs a gateway until SIGTERM or SIGINT, then lets running requests finish. It reloads the settings file at path on
// SIGHUP. It returns an error if a listener cannot be opened or requests still run at the end of the shutdown grace.
func Serve(path string, s Settings, clock timekeeper.Clock, log logger.Logger) error {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	terminated, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listeners, err := listenAll(s, log)
	if err != nil {
		return err
	}
	// The bound address identifies this gateway to the others; the setting may have port 0.
	s.PeerListen = listeners[purposePeer].Addr().String()
	g := NewGateway(s, clock, log)
	callerSrv := newCallerServer(g.forwarder, http.HandlerFunc(g.forwarder.RefuseAtShutdown), g.callerLimits,
		func(err error) { g.logListenerError(purposeCallers, err) })
	callerSrv.keepAliveTimeout = s.keepAliveTimeout()
	callerSrv.conns.OnClosed = g.recordClosedConn
	background, stopBackground := context.WithCancel(context.Background())
	var w conc.WaitGroup
	for purpose, serve := range g.serveFuncs(callerSrv) {
		w.Go(func() { g.logListenerError(purpose, serve(listeners[purpose])) })
	}
	w.Go(func() { g.Run(background) })
	w.Go(func() { g.reloadOnSIGHUP(background, path) })
	<-terminated.Done()
	err = g.drain(callerSrv)
	stopBackground()
	for purpose, l := range listeners {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			g.logListenerError(purpose, err)
		}
	}
	w.Wait()
	log.Write(logger.EventShutdownFinished)

	return err
}

// drain makes the gateway not ready, gives the platform's balancer time to notice, and lets running requests finish within
// the shutdown grace. Those that do not are ended, so that each gets an answer.
func (g *Gateway) drain(callers *callerServer) error {
	g.log.Write(logger.EventShutdownStarted)
	g.isShuttingDown.Store(true)
	callers.conns.CloseAfterResponse()
	end := g.clock.Now() + g.settings.ShutdownGrace - shutdownMargin
	requestsEnd := g.clock.Now() + g.settings.ShutdownGrace - drainer.EndMargin(g.settings.ShutdownGrace)
	timekeeper.Sleep(context.Background(), g.settings.drainDelay())
	g.forwarder.RefuseArriving(requestsEnd)
	timer := time.AfterFunc((requestsEnd - g.clock.Now()).Duration(), g.forwarder.EndRequests)
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), (end - g.clock.Now()).Duration())
	defer cancel()

	return callers.shutdown(ctx)
}

// callerLimits returns the limits for connections that are accepted now.
func (g *Gateway) callerLimits() cataloguer.Limits {
	if v := g.view.Load(); v != nil {
		return v.Configuration.Limits
	}

	return initialLimits
}

// Purposes of the listeners, as printed and logged.
const (
	purposeCallers = "callers"
	purposeReady   = "ready"
	purposePeer    = "peer"
	purposeMetrics = "metrics"
)

// listenAll opens all listeners, by purpose; if one fails, it closes the others and returns the error.
func listenAll(s Settings, log logger.Logger) (map[string]net.Listener, error) {
	addresses := map[string]string{
		purposeCallers: s.Listen,
		purposeReady:   s.ReadyListen,
		purposePeer:    s.PeerListen,
		purposeMetrics: s.MetricsListen,
	}
	listeners := map[string]net.Listener{}
	for purpose, address := range addresses {
		l, err := runner.Listen(purpose, address, os.Stdout, log)
		if err != nil {
			for _, other := range listeners {
				_ = other.Close()
			}

			return nil, err
		}
		listeners[purpose] = l
	}

	return listeners, nil
}

// serveFuncs returns the function that serves each listener, by purpose.
func (g *Gateway) serveFuncs(callers *callerServer) map[string]func(net.Listener) error {
	peerServer := newPeerServer(g.peers.handler())
	serveHTTP := func(h http.Handler) func(net.Listener) error {
		server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration()}

		return server.Serve
	}

	return map[string]func(net.Listener) error{
		purposeCallers: callers.serve,
		purposeReady:   serveHTTP(readyHandler(g.IsReady)),
		purposePeer:    func(l net.Listener) error { return peerServer.Serve(g.controlTraffic.WrapListener(l)) },
		purposeMetrics: serveHTTP(g.metricsHandler()),
	}
}

// logListenerError logs an error of a listener, unless the listener or its server has been closed.
func (g *Gateway) logListenerError(purpose string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		g.log.Write(logger.EventListenerFailed, logger.String("purpose", purpose), logger.Err(err))
	}
}

// reloadOnSIGHUP reloads the settings at each SIGHUP until the context ends.
func (g *Gateway) reloadOnSIGHUP(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			g.reloadSettings(path)
		}
	}
}

// reloadSettings reads the settings file and adds its seeds; other settings take effect only at a restart.
func (g *Gateway) reloadSettings(path string) {
	s := NewSettings()
	if err := loader.LoadFile(path, Options(&s)); err != nil {
		g.log.Write(logger.EventSettingsInvalid, logger.Err(err))

		return
	}
	g.peers.addPeers(s.Seeds)
	g.log.Write(logger.EventSettingsReloaded, logger.String("path", path))
}
