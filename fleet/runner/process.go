package runner

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
)

// Process runs the listeners and background tasks of a program and shuts them down.
type Process struct {
	stdout io.Writer
	log    logger.Logger
	serves []func()
	stops  []func()
}

// NewProcess returns a process without listeners. Bound addresses are printed to stdout and logged to log.
func NewProcess(stdout io.Writer, log logger.Logger) *Process {
	return &Process{stdout: stdout, log: log}
}

// Serve binds address at once. Run calls serve with the listener, and stop when the process shuts down; their errors are
// ignored. The purpose names the listener in the output and the log.
func (p *Process) Serve(purpose, address string, serve func(net.Listener) error, stop func() error) error {
	l, err := Listen(purpose, address, p.stdout, p.log)
	if err != nil {
		return err
	}
	p.serves = append(p.serves, func() { _ = serve(l) })
	p.stops = append(p.stops, func() { _ = stop() })

	return nil
}

// ServeMessages binds address for the RPC handler that other processes call and returns its HTTP server, which
// serves on the listener that wrap returns.
func (p *Process) ServeMessages(purpose, address string, handler func() (string, http.Handler), wrap func(net.Listener) net.Listener) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(handler())
	s := NewServer(mux)
	serve := func(l net.Listener) error { return Serve(s, wrap(l)) }

	return s, p.Serve(purpose, address, serve, s.Close)
}

// Run serves all listeners and runs the background tasks until ctx is done. It then calls drain, whose context ends after
// the grace period, so that running requests can finish, stops the tasks and the listeners, and returns the error of drain.
func (p *Process) Run(ctx context.Context, grace timekeeper.Millis, drain func(context.Context) error, tasks ...func(context.Context)) error {
	background, stopBackground := context.WithCancel(context.Background())
	var g conc.WaitGroup
	for _, serve := range p.serves {
		g.Go(serve)
	}
	for _, task := range tasks {
		g.Go(func() { task(background) })
	}

	<-ctx.Done()
	p.log.Write(logger.EventShutdownStarted)
	graceCtx, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	err := drain(graceCtx)
	stopBackground()
	for _, stop := range p.stops {
		stop()
	}
	g.Wait()
	p.log.Write(logger.EventShutdownFinished)

	return err
}
