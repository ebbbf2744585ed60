package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/exposer"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/sidecar/internal/settings"
	"cardamompulley/sidecar/internal/worker"
)

// Run runs the sidecar until it is told to stop and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	s := settings.NewSettings()
	code, done := runner.Parse("sidecar", arguments, settings.Options(&s), out, errs)
	if done {
		return code
	}
	if err := serve(s, out, errs); err != nil {
		fmt.Fprintln(errs, err)

		return runner.ExitFailed
	}

	return runner.ExitOK
}

func serve(s settings.Settings, out, errs io.Writer) error {
	ctx, stop := runner.Signals()
	defer stop()
	log := logger.NewLogger(errs, s.Process)
	log.Write(logger.EventStarted, logger.String("program", "sidecar"))
	spans, err := tracer.NewTracer(ctx, s.Collector, "sidecar", s.Process)
	if err != nil {
		return err
	}
	f := follower.NewFollower(s.Settings, model.RoleSidecar, configurator.NeedsFleet, timekeeper.NewSystem(), log)
	w, err := worker.NewWorker(s, f, spans)
	if err != nil {
		return err
	}
	p, err := newProcess(s, f, w, out, log)
	if err != nil {
		return err
	}
	background, endBackground := context.WithCancel(context.Background())
	var g conc.WaitGroup
	p.start(&g)
	g.Go(func() { f.Run(background) })
	g.Go(func() { w.Control(background) })

	// A second signal must not cut what still runs, so the handler stays until the end.
	<-ctx.Done()
	log.Write(logger.EventShutdownStarted)
	err = p.shutdown(s.ShutdownGrace)
	endBackground()
	p.stop()
	g.Wait()
	log.Write(logger.EventShutdownFinished)
	if flushErr := spans.Stop(context.Background()); flushErr != nil && err == nil {
		err = flushErr
	}

	return err
}

// process is the servers of the sidecar.
type process struct {
	worker  *worker.Worker
	work    *http.Server
	peer    *http.Server
	exposer *exposer.Exposer
	starts  []func()
}

func newProcess(s settings.Settings, f *follower.Follower, w *worker.Worker, out io.Writer, log logger.Logger) (*process, error) {
	p := &process{worker: w, exposer: exposer.NewExposer(s.Process, f)}
	p.exposer.Ready = w.Ready
	workMux, peerMux := http.NewServeMux(), http.NewServeMux()
	workMux.Handle(w.Handler())
	peerMux.Handle(f.PeerHandler())
	p.work, p.peer = runner.NewServer(workMux), runner.NewServer(peerMux)

	workListener, err := runner.Listen("work", s.WorkListen, out, log)
	if err != nil {
		return nil, err
	}
	peerListener, err := runner.Listen("peer", s.PeerListen, out, log)
	if err != nil {
		return nil, err
	}
	operatorListener, err := runner.Listen("operator", s.OperatorListen, out, log)
	if err != nil {
		return nil, err
	}
	p.starts = []func(){
		func() { _ = runner.Serve(p.work, workListener) },
		func() { _ = runner.Serve(p.peer, f.Control.Listener(peerListener)) },
		func() { _ = p.exposer.Serve(operatorListener) },
	}

	return p, nil
}

func (p *process) start(g *conc.WaitGroup) {
	for _, start := range p.starts {
		g.Go(start)
	}
}

// shutdown lets every running request finish within the grace.
func (p *process) shutdown(grace timekeeper.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	if err := p.worker.Stop(ctx); err != nil {
		return err
	}
	if err := p.work.Shutdown(ctx); err != nil {
		return fmt.Errorf("cli: shutdown: %w", err)
	}

	return nil
}

func (p *process) stop() {
	_ = p.work.Close()
	_ = p.peer.Close()
	_ = p.exposer.Stop()
}
