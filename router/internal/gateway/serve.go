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

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
)

const (
	// memoryShare of what the process may take is the limit of the runtime; the rest holds unread bytes.
	memoryShare = 0.7
	// noticeSpan is how long a stopping gateway still takes connections, until the balancer has noticed.
	noticeSpan = 2300 * timekeeper.Millis(1)
	// pageTimeout is how long a request for a page of this process may take to arrive.
	pageTimeout = 5 * timekeeper.Second
	// graceMargin is kept at the end of the shutdown grace.
	graceMargin = 300 * timekeeper.Millis(1)
)

// Serve runs a gateway until SIGTERM; path names the settings file, which SIGHUP reads anew.
func Serve(path string, s Settings, clock timekeeper.Clock, log logger.Logger) error {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	open, err := bind(s, log)
	if err != nil {
		return err
	}
	// The bound address names this gateway to the others.
	s.PeerListen = open[purposePeer].Addr().String()
	g := NewGateway(s, clock, log)
	callers := newCallerServer(g.forward, http.HandlerFunc(g.forward.RefuseLate), g.limits, func(err error) { g.report(purposeCallers, err) })
	background, end := context.WithCancel(context.Background())
	var w conc.WaitGroup
	for purpose, serve := range g.servers(callers) {
		w.Go(func() { g.report(purpose, serve(open[purpose])) })
	}
	w.Go(func() { g.Run(background) })
	w.Go(func() { g.reload(background, path) })
	<-term.Done()
	err = g.drain(callers)
	end()
	for purpose, l := range open {
		if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			g.report(purpose, err)
		}
	}
	w.Wait()
	log.Write(logger.EventShutdownFinished)

	return err
}

// drain lets the balancer notice, then lets running requests finish within the grace.
func (g *Gateway) drain(callers *callerServer) error {
	g.log.Write(logger.EventShutdownStarted)
	g.stopping.Store(true)
	end := g.clock.Now() + g.settings.Grace - graceMargin
	timekeeper.Sleep(context.Background(), min(noticeSpan, g.settings.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), (end - g.clock.Now()).Duration())
	defer cancel()

	return callers.shutdown(ctx)
}

func (g *Gateway) limits() cataloguer.Limits {
	if v := g.view.Load(); v != nil {
		return v.Configuration.Limits
	}

	return firstLimits
}

// Purposes of the listeners.
const (
	purposeCallers = "callers"
	purposeReady   = "ready"
	purposePeer    = "peer"
	purposeMetrics = "metrics"
)

// bind opens every listener or none.
func bind(s Settings, log logger.Logger) (map[string]net.Listener, error) {
	addresses := map[string]string{
		purposeCallers: s.Listen,
		purposeReady:   s.ReadyListen,
		purposePeer:    s.PeerListen,
		purposeMetrics: s.MetricsListen,
	}
	open := map[string]net.Listener{}
	for purpose, address := range addresses {
		l, err := runner.Listen(purpose, address, os.Stdout, log)
		if err != nil {
			for _, other := range open {
				_ = other.Close()
			}

			return nil, err
		}
		open[purpose] = l
	}

	return open, nil
}

// servers returns what answers at each listener.
func (g *Gateway) servers(callers *callerServer) map[string]func(net.Listener) error {
	trades := newPeerServer(g.peers.handler())
	plain := func(h http.Handler) func(net.Listener) error {
		server := &http.Server{Handler: h, ReadHeaderTimeout: pageTimeout.Duration()}

		return server.Serve
	}

	return map[string]func(net.Listener) error{
		purposeCallers: callers.serve,
		purposeReady:   plain(readyHandler(g.Ready)),
		purposePeer:    func(l net.Listener) error { return trades.Serve(g.control.WrapListener(l)) },
		purposeMetrics: plain(g.metricsHandler()),
	}
}

func (g *Gateway) report(purpose string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		g.log.Write(logger.EventListenerFailed, logger.String("purpose", purpose), logger.Err(err))
	}
}

// reload reads the settings anew at SIGHUP and takes what can change while the process runs.
func (g *Gateway) reload(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			g.reloadOnce(path)
		}
	}
}

func (g *Gateway) reloadOnce(path string) {
	s := NewSettings()
	if err := loader.LoadFile(path, Options(&s)); err != nil {
		g.log.Write(logger.EventSettingsInvalid, logger.Err(err))

		return
	}
	g.peers.meet(s.Seeds)
	g.log.Write(logger.EventSettingsReloaded, logger.String("path", path))
}
