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

// Run runs one stand-in until it is told to stop and returns its exit code.
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
	l, err := runner.Listen("standin", listen, out, logger.NewDiscard())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitFailure
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: timekeeper.Minute.Duration()}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := runner.Serve(server, l); err != nil {
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
func (*platformCommand) Synopsis() string { return "play the configuration service and the VM list" }
func (*platformCommand) Usage() string    { return "platform --document FILE [--listen ADDRESS]\n" }

// SetFlags declares the flags.
func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&p.document, "document", "", "configuration document of version 1, JSON with comments")
}

// Execute serves until it is told to stop.
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
	stand, err := platform.NewPlatform(document)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitUsageError
	}

	return serve(p.out, p.listen, stand.Handler())
}

type engineCommand struct {
	out     io.Writer
	listen  string
	fenced  bool
	prefill int64
	gap     int64
	options engine.Options
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "play a model engine" }
func (*engineCommand) Usage() string    { return "engine [--listen ADDRESS] [--token-gap-ms N] ...\n" }

// SetFlags declares the flags.
func (e *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.BoolVar(&e.fenced, "fenced", true, "refuse orders with an older fencing number")
	f.Int64Var(&e.prefill, "prefill-ms", 20, "time for a thousand uncached prompt tokens")
	f.Int64Var(&e.gap, "token-gap-ms", 5, "time between tokens")
	f.IntVar(&e.options.Prefixes, "prefixes", 4096, "prefixes that the cache holds")
	f.IntVar(&e.options.ColdRequests, "cold-requests", 0, "requests served before the cold start is over")
	f.IntVar(&e.options.ColdBears, "cold-bears", 0, "requests at once that a cold engine bears; 0 for any")
}

// Execute serves until it is told to stop.
func (e *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	e.options.PrefillPerKT = timekeeper.Millis(e.prefill)
	e.options.TokenGap = timekeeper.Millis(e.gap)
	stand, err := engine.NewEngine(e.options, e.fenced)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return subcommands.ExitUsageError
	}

	return serve(e.out, e.listen, stand.Handler())
}

type plainCommand struct {
	out    io.Writer
	listen string
}

func (*plainCommand) Name() string     { return "plain" }
func (*plainCommand) Synopsis() string { return "play a plain service" }
func (*plainCommand) Usage() string    { return "plain [--listen ADDRESS]\n" }

// SetFlags declares the flags.
func (p *plainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:0", "address to listen on")
}

// Execute serves until it is told to stop.
func (p *plainCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(p.out, p.listen, plain.NewService().Handler())
}
