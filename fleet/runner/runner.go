package runner

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"cardamompulley/fleet/loader"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

const (
	headerTimeout  = 5 * timekeeper.Second
	maxHeaderBytes = 32 << 10
	streamBuffer   = 32 << 10
)

// Main reads the command line and the settings file of a program, has it serve, and returns its exit code.
func Main(program string, arguments []string, options []loader.Option, out, errs io.Writer, serve func(path string) error) int {
	path, code, done := parse(program, arguments, options, out, errs)
	if done {
		return code
	}
	if err := serve(path); err != nil {
		fmt.Fprintln(errs, err)

		return ExitFailed
	}

	return ExitOK
}

// parse returns the path of the settings file; done is true when there is nothing more to do.
func parse(program string, arguments []string, options []loader.Option, out, errs io.Writer) (file string, code int, done bool) {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("settings", "", "settings file, JSON with comments")
	check := flags.Bool("check-settings", false, "check the settings and exit")
	if err := flags.Parse(arguments); err != nil {
		return "", ExitSettings, true
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintf(errs, "usage: %s --settings FILE [--check-settings]\n", program)

		return "", ExitSettings, true
	}
	if err := loader.LoadFile(*path, options); err != nil {
		fmt.Fprintln(errs, err)

		return "", ExitSettings, true
	}
	if *check {
		fmt.Fprintf(out, "%s: settings are good\n", *path)
	}

	return *path, ExitOK, *check
}

// Signals returns a context that ends at the first SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Listen binds an address, and prints and logs what was bound.
func Listen(purpose, address string, out io.Writer, log logger.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("runner: listen for %s on %s: %w", purpose, address, err)
	}
	fmt.Fprintf(out, "listening %s %s\n", purpose, l.Addr())
	log.Write(logger.EventListening, logger.String("purpose", purpose), logger.String("address", l.Addr().String()))

	return l, nil
}

// NewServer returns an HTTP server for messages between processes, with small buffers for each stream.
func NewServer(mux *http.ServeMux) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
}

// NewTransport returns the client side of NewServer.
func NewTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)

	return &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{MaxReceiveBufferPerStream: streamBuffer},
	}
}

// Serve runs a server until it is shut down.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("runner: serve %s: %w", l.Addr(), err)
	}

	return nil
}
