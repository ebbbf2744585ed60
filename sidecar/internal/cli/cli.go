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

// Run runs the sidecar until SIGTERM or SIGINT and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	s := settings.NewSettings()

	return runner.Main("sidecar", arguments, settings.Options(&s), out, errs, func(string) error { return serve(s, out, errs) })
}

// serve runs the sidecar until SIGTERM or SIGINT, then drains it. The signal handler stays installed until the end, so that
// a second signal does not cut requests that still run.
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
	workServer, err := listen(p, s, f, w)
	if err != nil {
		return err
	}
	drain := func(ctx context.Context) error {
		if err := w.Shutdown(ctx); err != nil {
			return err
		}

		return workServer.Shutdown(ctx)
	}
	err = p.Run(ctx, s.ShutdownGrace, drain, f.Run, w.RunBackgroundTasks)

	return errors.Join(err, spans.Shutdown(context.Background()))
}

// listen opens the listeners of the sidecar and registers their servers with the process. It returns the server for routers.
// Its traffic is not counted as control traffic.
func listen(p *runner.Process, s settings.Settings, f *follower.Follower, w *worker.Worker) (*http.Server, error) {
	uncounted := func(l net.Listener) net.Listener { return l }
	workServer, err := p.ServeMessages("work", s.WorkListen, w.Handler, uncounted)
	if err != nil {
		return nil, err
	}
	if _, err := p.ServeMessages("peer", s.PeerListen, f.PeerHandler, f.ControlTraffic.WrapListener); err != nil {
		return nil, err
	}
	operatorServer := exposer.NewExposer(s.Process, f)
	operatorServer.IsReady = w.IsReady

	return workServer, p.Serve("operator", s.OperatorListen, operatorServer.Serve, operatorServer.Shutdown)
}
