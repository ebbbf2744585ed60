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
	"cardamompulley/router/internal/server"
	"cardamompulley/router/internal/settings"
)

// Run runs the router until it is told to stop and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	s := settings.NewSettings()
	code, done := runner.Parse("router", arguments, settings.Options(&s), out, errs)
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
	log.Write(logger.EventStarted, logger.String("program", "router"))
	spans, err := tracer.NewTracer(ctx, s.Collector, "router", s.Process)
	if err != nil {
		return err
	}
	f := follower.NewFollower(s.Settings, model.RoleRouter, configurator.NeedsAll, timekeeper.NewSystem(), log)
	v := server.NewServer(s, f, spans)
	p, err := newProcess(s, f, v, out, log)
	if err != nil {
		return err
	}
	background, endBackground := context.WithCancel(context.Background())
	var g conc.WaitGroup
	for _, start := range p.starts {
		g.Go(start)
	}
	g.Go(func() { f.Run(background) })

	// A second signal must not cut what still runs, so the handler stays until the end.
	<-ctx.Done()
	log.Write(logger.EventShutdownStarted)
	grace, cancel := context.WithTimeout(context.Background(), s.ShutdownGrace.Duration())
	defer cancel()
	err = v.Stop(grace)
	endBackground()
	_ = p.peer.Close()
	_ = p.exposer.Stop()
	g.Wait()
	log.Write(logger.EventShutdownFinished)
	if flushErr := spans.Stop(context.Background()); flushErr != nil && err == nil {
		err = flushErr
	}

	return err
}

// process is the servers of the router.
type process struct {
	peer    *http.Server
	exposer *exposer.Exposer
	starts  []func()
}

func newProcess(s settings.Settings, f *follower.Follower, v *server.Server, out io.Writer, log logger.Logger) (*process, error) {
	peerMux := http.NewServeMux()
	peerMux.Handle(f.PeerHandler())
	p := &process{peer: runner.NewServer(peerMux), exposer: exposer.NewExposer(s.Process, f)}
	p.exposer.Ready = v.Ready
	p.exposer.Handle("/explain", v.HandleExplain)

	callers, err := runner.Listen("callers", s.Listen, out, log)
	if err != nil {
		return nil, err
	}
	peers, err := runner.Listen("peer", s.PeerListen, out, log)
	if err != nil {
		return nil, err
	}
	operators, err := runner.Listen("operator", s.OperatorListen, out, log)
	if err != nil {
		return nil, err
	}
	p.starts = []func(){
		func() { _ = v.Serve(callers) },
		func() { _ = runner.Serve(p.peer, f.Control.Listener(peers)) },
		func() { _ = p.exposer.Serve(operators) },
	}

	return p, nil
}
