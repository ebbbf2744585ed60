package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"cardamompulley/experimenter/internal/demonstrator"
	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/runner"
)

type demoCommand struct {
	out, errs io.Writer
	verbose   bool
	keep      bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "show the whole path on stand-ins" }
func (*demoCommand) Usage() string    { return "demo [--verbose] [--keep]\n" }

// SetFlags declares the flags.
func (d *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&d.verbose, "verbose", false, "print the logs of all processes")
	f.BoolVar(&d.keep, "keep", false, "keep the fleet running until interrupted and print its addresses")
}

// Execute launches a fleet, shows the path and stops everything.
func (d *demoCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := d.run(); err != nil {
		fmt.Fprintln(d.errs, "demo failed:", err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (d *demoCommand) run() error {
	spec := launcher.Spec{Programs: programs(), Engines: 3, Plains: 2, Routers: 2, Domains: 2, Logs: io.Discard}
	if d.verbose {
		spec.Logs = d.errs
	}
	fleet, err := launcher.Launch(spec)
	if err != nil {
		return err
	}
	fmt.Fprintln(d.out, "fleet: 2 routers, 5 sidecars, 3 model engines, 2 plain services, 1 platform, as separate processes")
	if err := demonstrator.NewDemonstrator(d.out, fleet).Run(); err != nil {
		fleet.Kill()

		return err
	}
	if d.keep {
		d.hold(fleet)
	}
	if err := fleet.Stop(); err != nil {
		return err
	}
	if err := d.runGateways(spec.Logs); err != nil {
		return err
	}
	fmt.Fprintln(d.out, "all processes stopped cleanly")

	return nil
}

// runGateways shows the front of the group's platform on its stand-ins.
func (d *demoCommand) runGateways(logs io.Writer) error {
	fleet, err := launcher.LaunchGateways(launcher.DemoGateways(programs(), logs))
	if err != nil {
		return err
	}
	fmt.Fprintln(d.out, "gateways: 2 gateways, 3 model engines, 2 plain services, 1 store, as separate processes")
	if err := demonstrator.NewGatewayDemonstrator(d.out, fleet).Run(); err != nil {
		fleet.Kill()

		return err
	}

	return fleet.Stop()
}

func (d *demoCommand) hold(fleet *launcher.Fleet) {
	ctx, stop := runner.Signals()
	defer stop()
	fmt.Fprintln(d.out, "platform  http://"+fleet.Platform.Address("standin"))
	for _, r := range fleet.Routers {
		fmt.Fprintf(d.out, "%s  callers http://%s  operator http://%s\n", r.Name, r.Address("callers"), r.Address("operator"))
	}
	fmt.Fprintln(d.out, "caller token "+launcher.CallerToken+", operator token "+launcher.OperatorToken)
	fmt.Fprintln(d.out, "interrupt to stop")
	<-ctx.Done()
}

// programs returns the folder of this program, where the others are built too.
func programs() string {
	self, err := os.Executable()
	if err != nil {
		return "."
	}

	return filepath.Dir(self)
}
