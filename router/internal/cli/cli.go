package cli

import (
	"context"
	"errors"
	"io"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/exposer"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/router/internal/server"
	"cardamompulley/router/internal/settings"
)

// commandGateway runs the gateway instead of the router that forwards requests through sidecars.
const commandGateway = "gateway"

// Run runs the command given by the arguments until the process is signalled to stop, and returns the exit code. Errors and
// usage go to errs.
func Run(arguments []string, out, errs io.Writer) int {
	if len(arguments) > 0 && arguments[0] == commandGateway {
		return runGateway(arguments[1:], out, errs)
	}
	s := settings.NewSettings()

	return runner.Main("router", arguments, settings.Options(&s), out, errs, func(string) error { return serve(s, out, errs) })
}

// serve runs the router until SIGTERM or SIGINT, then drains it. The signal handler stays installed until the end, so that a
// second signal does not cut requests that still run.
func serve(s settings.Settings, out, errs io.Writer) error {
	ctx, stop := runner.Signals()
	defer stop()
	log := logger.NewLogger(errs, s.Process)
	log.Write(logger.EventProcessStarted, logger.String("program", "router"))
	spans, err := tracer.NewTracer(ctx, s.Collector, "router", s.Process)
	if err != nil {
		return err
	}
	f := follower.NewFollower(s.Settings, model.RoleRouter, configurator.AllParts, timekeeper.NewSystemClock(), log)
	srv := server.NewServer(s, f, spans)
	p := runner.NewProcess(out, log)
	if err := listen(p, s, f, srv); err != nil {
		return err
	}
	err = p.Run(ctx, s.ShutdownGrace, srv.Shutdown, f.Run)

	return errors.Join(err, spans.Shutdown(context.Background()))
}

// listen opens the listeners of the router and registers their servers with the process.
func listen(p *runner.Process, s settings.Settings, f *follower.Follower, srv *server.Server) error {
	if err := p.Serve("callers", s.Listen, srv.Serve, func() error { return nil }); err != nil {
		return err
	}
	if _, err := p.ServeMessages("peer", s.PeerListen, f.PeerHandler, f.ControlTraffic.WrapListener); err != nil {
		return err
	}
	operatorServer := exposer.NewExposer(s.Process, f)
	operatorServer.IsReady = srv.IsReady
	operatorServer.Handle("/explain", srv.HandleExplain)

	return p.Serve("operator", s.OperatorListen, operatorServer.Serve, operatorServer.Shutdown)
}
