package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/standin/internal/engine"
	"cardamompulley/standin/internal/plain"
	"cardamompulley/standin/internal/platform"
)

// Run runs the stand-in that the arguments select until the process is interrupted, and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.SetOutput(errs)
	commander := subcommands.NewCommander(flags, "standin")
	commander.Output, commander.Error = out, errs
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&platformCommand{out: out}, "")
	commander.Register(&engineCommand{out: out}, "")
	commander.Register(&plainCommand{out: out}, "")
	commander.Register(&storeCommand{out: out}, "")
	commander.Register(&responderCommand{out: out}, "")
	if err := flags.Parse(arguments); err != nil {
		return runner.ExitSettings
	}

	return int(commander.Execute(context.Background()))
}

func serve(out io.Writer, listen string, handler http.Handler) subcommands.ExitStatus {
	ctx, stop := runner.Signals()
	defer stop()
	listener, err := runner.Listen("standin", listen, out, logger.NewDiscard())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitFailure
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: timekeeper.Minute.Duration()}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := runner.Serve(server, listener); err != nil {
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

type platformCommand struct {
	out      io.Writer
	listen   string
	document string
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "simulate the configuration service and VM list" }
func (*platformCommand) Usage() string    { return "platform --document FILE [--listen ADDRESS]\n" }

// SetFlags registers the flags.
func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&p.document, "document", "", "configuration document of version 1, JSON with comments")
}

// Execute serves until the process is interrupted. It returns ExitUsageError if the document cannot be read or is invalid.
func (p *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var document model.Document
	if p.document != "" {
		raw, err := os.ReadFile(p.document)
		if err == nil {
			err = configurator.DecodeStrict(raw, &document)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)

			return subcommands.ExitUsageError
		}
	}
	standin, err := platform.NewPlatform(document)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitUsageError
	}

	return serve(p.out, p.listen, standin.Handler())
}

type engineCommand struct {
	out             io.Writer
	listen          string
	requireFencing  bool
	prefillMS       int64
	tokenIntervalMS int64
	options         engine.Options
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "simulate a model engine" }
func (*engineCommand) Usage() string    { return "engine [--listen ADDRESS] [--token-gap-ms N] ...\n" }

// SetFlags registers the flags.
func (e *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.BoolVar(&e.requireFencing, "fenced", true, "refuse model load commands with an older fencing token")
	f.Int64Var(&e.prefillMS, "prefill-ms", 20, "time to process 1000 uncached prompt tokens, in ms")
	f.Int64Var(&e.tokenIntervalMS, "token-gap-ms", 5, "time between tokens, in ms")
	f.IntVar(&e.options.MaxCachedPrefixes, "prefixes", 4096, "capacity of the prefix cache, in prefixes")
	f.IntVar(&e.options.ColdStartRequests, "cold-requests", 0, "requests to serve before the cold start ends")
	f.IntVar(&e.options.MaxColdConcurrency, "cold-bears", 0, "concurrent requests that a cold engine survives; 0 for any")
}

// Execute serves until the process is interrupted. It returns ExitUsageError if the options are invalid.
func (e *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	e.options.PrefillPerThousandTokens = timekeeper.Millis(e.prefillMS)
	e.options.TokenInterval = timekeeper.Millis(e.tokenIntervalMS)
	standin, err := engine.NewEngine(e.options, e.requireFencing)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitUsageError
	}

	return serve(e.out, e.listen, standin.Handler())
}

type plainCommand struct {
	out    io.Writer
	listen string
}

func (*plainCommand) Name() string     { return "plain" }
func (*plainCommand) Synopsis() string { return "simulate a plain service" }
func (*plainCommand) Usage() string    { return "plain [--listen ADDRESS]\n" }

// SetFlags registers the flags.
func (p *plainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:0", "address to listen on")
}

// Execute serves until the process is interrupted.
func (p *plainCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(p.out, p.listen, plain.NewService().Handler())
}
