package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"cardamompulley/experimenter/internal/bencher"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
)

type benchCommand struct {
	out, errs io.Writer
}

func (*benchCommand) Name() string             { return "bench" }
func (*benchCommand) Synopsis() string         { return "load-test an engine directly and through the fleet" }
func (*benchCommand) Usage() string            { return "bench\n" }
func (*benchCommand) SetFlags(_ *flag.FlagSet) {}

// Execute load-tests endpoints directly and through a router, then directly and through a gateway.
func (b *benchCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fleet, err := launcher.Launch(launcher.Spec{
		BinDir: binDir(), Engines: 1, PlainEndpoints: 1, Routers: 1, Domains: 1, Logs: io.Discard,
		EngineArgs: []string{"--token-gap-ms", "0", "--prefill-ms", "0"},
		ModifyDocument: func(d *model.Document) {
			for id, e := range d.Fleet.Endpoints {
				e.MaxRunning = 256
				d.Fleet.Endpoints[id] = e
			}
			for id, s := range d.Fleet.Services {
				s.LoadFloor = 256
				d.Fleet.Services[id] = s
			}
		},
	})
	if err != nil {
		fmt.Fprintln(b.errs, err)

		return subcommands.ExitFailure
	}
	defer fleet.Kill()
	if err := errors.Join(bencher.Run(b.out, fleet), b.benchGateways()); err != nil {
		fmt.Fprintln(b.errs, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// benchGateways launches a gateway in front of the platform's stand-ins and load-tests it.
func (b *benchCommand) benchGateways() error {
	const eventsPerStream, eventInterval = 40, 20
	fleet, err := launcher.LaunchGateways(launcher.GatewaySpec{
		BinDir: binDir(), Gateways: 1, Engines: 1, PlainEndpoints: 1,
		EventsPerStream: eventsPerStream, EventInterval: eventInterval, Logs: io.Discard,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()

	return bencher.RunGateway(b.out, fleet)
}
