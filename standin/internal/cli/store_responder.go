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
func (*storeCommand) Synopsis() string { return "simulate the platform's store" }
func (*storeCommand) Usage() string    { return "store [--listen ADDRESS]\n" }

// SetFlags registers the flags.
func (s *storeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to listen on")
}

// Execute serves until the process is interrupted.
func (s *storeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(s.out, s.listen, storekeeper.NewStore().Handler())
}

type responderCommand struct {
	out             io.Writer
	listen          string
	id              string
	software        string
	eventsPerStream int
	eventIntervalMS int64
}

func (*responderCommand) Name() string     { return "responder" }
func (*responderCommand) Synopsis() string { return "simulate an endpoint of the platform" }
func (*responderCommand) Usage() string {
	return "responder --id ID [--software VERSION] [--events N] [--gap-ms N]\n"
}

// SetFlags registers the flags.
func (r *responderCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&r.id, "id", "endpoint", "id of the endpoint")
	f.StringVar(&r.software, "software", "", "software version that every event names")
	f.IntVar(&r.eventsPerStream, "events", 20, "events per stream")
	f.Int64Var(&r.eventIntervalMS, "gap-ms", 5, "time between events, in ms")
}

// Execute serves until the process is interrupted.
func (r *responderCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	endpoint := responder.NewResponder(r.id, r.eventsPerStream, timekeeper.Millis(r.eventIntervalMS))
	endpoint.Software = r.software

	return serve(r.out, r.listen, endpoint.Handler())
}
