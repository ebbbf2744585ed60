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
	// ExitOK reports a clean shutdown or valid settings.
	ExitOK = 0
	// ExitFailed reports an error while starting or serving.
	ExitFailed = 1
	// ExitSettings reports an invalid command line or settings file.
	ExitSettings = 2
)

const (
	headerTimeout       = 5 * timekeeper.Second
	maxHeaderBytes      = 32 << 10
	streamReceiveBuffer = 32 << 10
)

// Main parses the command line, loads the settings file into the options, calls serve with the path of the file, and returns
// the exit code. With --check-settings it only validates the file. Errors are printed to stderr.
func Main(program string, arguments []string, options []loader.Option, stdout, stderr io.Writer, serve func(path string) error) int {
	path, code, done := parse(program, arguments, options, stdout, stderr)
	if done {
		return code
	}
	if err := serve(path); err != nil {
		fmt.Fprintln(stderr, err)

		return ExitFailed
	}

	return ExitOK
}

// parse returns the path of the settings file. If done is true, the program must exit with code.
func parse(program string, arguments []string, options []loader.Option, stdout, stderr io.Writer) (file string, code int, done bool) {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings file, JSON with comments")
	check := flags.Bool("check-settings", false, "check the settings and exit")
	if err := flags.Parse(arguments); err != nil {
		return "", ExitSettings, true
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintf(stderr, "usage: %s --settings FILE [--check-settings]\n", program)

		return "", ExitSettings, true
	}
	if err := loader.LoadFile(*path, options); err != nil {
		fmt.Fprintln(stderr, err)

		return "", ExitSettings, true
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings are good\n", *path)
	}

	return *path, ExitOK, *check
}

// Signals returns a context that is cancelled by the first SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Listen binds a TCP address, and prints and logs the bound address, which shows the port chosen for port 0.
func Listen(purpose, address string, stdout io.Writer, log logger.Logger) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("runner: listen for %s on %s: %w", purpose, address, err)
	}
	fmt.Fprintf(stdout, "listening %s %s\n", purpose, l.Addr())
	log.Write(logger.EventListening, logger.String("purpose", purpose), logger.String("address", l.Addr().String()))

	return l, nil
}

// NewServer returns an HTTP server for RPCs between processes, over HTTP/1 and unencrypted HTTP/2.
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

// NewTransport returns a client transport for servers made by NewServer. It uses unencrypted HTTP/2 with a small receive
// buffer for each stream.
func NewTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)

	return &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{MaxReceiveBufferPerStream: streamReceiveBuffer},
	}
}

// Serve serves s on l until s is shut down, which is not an error.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("runner: serve %s: %w", l.Addr(), err)
	}

	return nil
}
