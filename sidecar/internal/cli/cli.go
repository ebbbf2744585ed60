package cli

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

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

	return runner.Main("sidecar", arguments, settings.Options(&s), out, errs, func(string) error { return serve(s, out, errs) })
}

// serve keeps the signal handler until the end, so that a second signal cuts nothing that still runs.
func serve(s settings.Settings, out, errs io.Writer) error {
	ctx, stop := runner.Signals()
	defer stop()
	log := logger.NewLogger(errs, s.Process)
	log.Write(logger.EventProcessStarted, logger.String("program", "sidecar"))
	spans, err := tracer.NewTracer(ctx, s.Collector, "sidecar", s.Process)
	if err != nil {
		return err
	}
	f := follower.NewFollower(s.Settings, model.RoleSidecar, configurator.OnlyFleetPart, timekeeper.NewSystemClock(), log)
	w, err := worker.NewWorker(s, f, spans)
	if err != nil {
		return err
	}
	p := runner.NewProcess(out, log)
	work, err := listen(p, s, f, w)
	if err != nil {
		return err
	}
	drain := func(ctx context.Context) error {
		if err := w.Stop(ctx); err != nil {
			return err
		}

		return work.Shutdown(ctx)
	}
	err = p.Run(ctx, s.ShutdownGrace, drain, f.Run, w.Control)

	return errors.Join(err, spans.Shutdown(context.Background()))
}

func listen(p *runner.Process, s settings.Settings, f *follower.Follower, w *worker.Worker) (*http.Server, error) {
	uncounted := func(l net.Listener) net.Listener { return l }
	work, err := p.ServeMessages("work", s.WorkListen, w.Handler, uncounted)
	if err != nil {
		return nil, err
	}
	if _, err := p.ServeMessages("peer", s.PeerListen, f.PeerHandler, f.ControlTraffic.WrapListener); err != nil {
		return nil, err
	}
	x := exposer.NewExposer(s.Process, f)
	x.IsReady = w.Ready

	return work, p.Serve("operator", s.OperatorListen, x.Serve, x.Stop)
}
