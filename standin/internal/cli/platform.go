package cli

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"cardamompulley/fleet/timekeeper"
	"cardamompulley/standin/internal/responder"
	"cardamompulley/standin/internal/storekeeper"
)

type storeCommand struct {
	out    io.Writer
	listen string
}

func (*storeCommand) Name() string     { return "store" }
func (*storeCommand) Synopsis() string { return "play the platform's store" }
func (*storeCommand) Usage() string    { return "store [--listen ADDRESS]\n" }

// SetFlags declares the flags.
func (s *storeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to listen on")
}

// Execute serves until it is told to stop.
func (s *storeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(s.out, s.listen, storekeeper.NewStore().Handler())
}

type responderCommand struct {
	out    io.Writer
	listen string
	id     string
	events int
	gap    int64
}

func (*responderCommand) Name() string     { return "responder" }
func (*responderCommand) Synopsis() string { return "play an endpoint of the platform" }
func (*responderCommand) Usage() string    { return "responder --id ID [--events N] [--gap-ms N]\n" }

// SetFlags declares the flags.
func (r *responderCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&r.id, "id", "endpoint", "id of the endpoint")
	f.IntVar(&r.events, "events", 20, "events of a stream")
	f.Int64Var(&r.gap, "gap-ms", 5, "time between events")
}

// Execute serves until it is told to stop.
func (r *responderCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	p := responder.NewResponder(r.id, r.events, timekeeper.Millis(r.gap))

	return serve(r.out, r.listen, p.Handler())
}
