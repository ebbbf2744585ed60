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
	// graceMargin is kept at the end of the shutdown grace.
	graceMargin = 300 * timekeeper.Millis(1)
)

// Serve runs a gateway until SIGTERM; path names the settings file, which SIGHUP reads anew.
func Serve(path string, s Settings, clock timekeeper.Clock, log logger.Logger) error {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g := NewGateway(s, clock, log)
	d := newDoors(g.forward, g.limits)
	listeners, err := g.listen(d)
	if err != nil {
		return err
	}
	background, end := context.WithCancel(context.Background())
	var w conc.WaitGroup
	for _, l := range listeners {
		w.Go(l.serve)
	}
	w.Go(func() { g.Run(background) })
	w.Go(func() { g.reload(background, path) })
	<-term.Done()
	err = g.drain(d)
	end()
	for _, l := range listeners {
		l.close()
	}
	w.Wait()
	log.Write(logger.EventShutdownFinished)

	return err
}

// drain lets the balancer notice, then lets running requests finish within the grace.
func (g *Gateway) drain(d *doors) error {
	g.log.Write(logger.EventShutdownStarted)
	g.stopping.Store(true)
	end := g.clock.Now() + g.settings.Grace - graceMargin
	pause(context.Background(), min(noticeSpan, g.settings.Grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), (end - g.clock.Now()).Duration())
	defer cancel()

	return d.shutdown(ctx)
}

func (g *Gateway) limits() cataloguer.Limits {
	if v := g.view.Load(); v != nil && v.Configuration != nil {
		return v.Configuration.Limits
	}

	return firstLimits
}

type listening struct {
	serve func()
	close func()
}

func (g *Gateway) listen(d *doors) ([]listening, error) {
	var all []listening
	add := func(purpose, address string, serve func(net.Listener) error) error {
		l, err := runner.Listen(purpose, address, os.Stdout, g.log)
		if err != nil {
			return err
		}
		all = append(all, listening{
			serve: func() { g.report(purpose, serve(l)) },
			close: func() { _ = l.Close() },
		})

		return nil
	}
	plain := func(h http.Handler) func(net.Listener) error {
		server := &http.Server{Handler: h, ReadHeaderTimeout: tradeTimeout.Duration() * 10}

		return server.Serve
	}
	err := errors.Join(
		add("callers", g.settings.Listen, d.serve),
		add("ready", g.settings.ReadyListen, plain(readyHandler(g.Ready))),
		add("peer", g.settings.PeerListen, plain(g.peers.handler())),
		add("metrics", g.settings.MetricsListen, plain(metricsHandler())),
	)

	return all, err
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
	g.log.Write(logger.EventReloaded, logger.String("path", path))
}
