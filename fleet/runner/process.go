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

// Process is the listeners and background work of one program.
type Process struct {
	out    io.Writer
	log    logger.Logger
	serves []func()
	stops  []func()
}

// NewProcess returns a process without listeners.
func NewProcess(out io.Writer, log logger.Logger) *Process {
	return &Process{out: out, log: log}
}

// Serve binds an address for a purpose; serving begins with Run and ends with stop.
func (p *Process) Serve(purpose, address string, serve func(net.Listener) error, stop func() error) error {
	l, err := Listen(purpose, address, p.out, p.log)
	if err != nil {
		return err
	}
	p.serves = append(p.serves, func() { _ = serve(l) })
	p.stops = append(p.stops, func() { _ = stop() })

	return nil
}

// ServeMessages binds an address for messages between processes and returns their server.
func (p *Process) ServeMessages(purpose, address string, handler func() (string, http.Handler), wrap func(net.Listener) net.Listener) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(handler())
	s := NewServer(mux)
	serve := func(l net.Listener) error { return Serve(s, wrap(l)) }

	return s, p.Serve(purpose, address, serve, s.Close)
}

// Run serves and works in the background until the context ends; drain then lets running requests finish within the grace.
func (p *Process) Run(ctx context.Context, grace timekeeper.Millis, drain func(context.Context) error, work ...func(context.Context)) error {
	background, endBackground := context.WithCancel(context.Background())
	var g conc.WaitGroup
	for _, serve := range p.serves {
		g.Go(serve)
	}
	for _, w := range work {
		g.Go(func() { w(background) })
	}

	<-ctx.Done()
	p.log.Write(logger.EventShutdownStarted)
	limited, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	err := drain(limited)
	endBackground()
	for _, stop := range p.stops {
		stop()
	}
	g.Wait()
	p.log.Write(logger.EventShutdownFinished)

	return err
}
