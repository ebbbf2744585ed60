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

// commandGateway selects the front that routes straight to endpoints.
const commandGateway = "gateway"

// Run runs the router until it is told to stop and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	if len(arguments) > 0 && arguments[0] == commandGateway {
		return runGateway(arguments[1:], out, errs)
	}
	s := settings.NewSettings()

	return runner.Main("router", arguments, settings.Options(&s), out, errs, func(string) error { return serve(s, out, errs) })
}

// serve keeps the signal handler until the end, so that a second signal cuts nothing that still runs.
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
	v := server.NewServer(s, f, spans)
	p := runner.NewProcess(out, log)
	if err := listen(p, s, f, v); err != nil {
		return err
	}
	err = p.Run(ctx, s.ShutdownGrace, v.Stop, f.Run)

	return errors.Join(err, spans.Shutdown(context.Background()))
}

func listen(p *runner.Process, s settings.Settings, f *follower.Follower, v *server.Server) error {
	if err := p.Serve("callers", s.Listen, v.Serve, func() error { return nil }); err != nil {
		return err
	}
	if _, err := p.ServeMessages("peer", s.PeerListen, f.PeerHandler, f.ControlTraffic.WrapListener); err != nil {
		return err
	}
	x := exposer.NewExposer(s.Process, f)
	x.IsReady = v.Ready
	x.Handle("/explain", v.HandleExplain)

	return p.Serve("operator", s.OperatorListen, x.Serve, x.Stop)
}
