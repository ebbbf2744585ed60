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
	out, errs   io.Writer
	verbose     bool
	keepRunning bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "show requests passing through a fleet" }
func (*demoCommand) Usage() string    { return "demo [--verbose] [--keep]\n" }

// SetFlags registers the flags.
func (d *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&d.verbose, "verbose", false, "print the logs of all processes")
	f.BoolVar(&d.keepRunning, "keep", false, "keep the fleet running until interrupted and print its addresses")
}

// Execute launches a fleet, runs the demo and stops all processes. It fails if a step of the demo has an unexpected result.
func (d *demoCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := d.run(); err != nil {
		fmt.Fprintln(d.errs, "demo failed:", err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (d *demoCommand) run() error {
	spec := launcher.Spec{BinDir: binDir(), Engines: 3, PlainEndpoints: 2, Routers: 2, Domains: 2, Logs: io.Discard}
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
	if d.keepRunning {
		d.waitForInterrupt(fleet)
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

// runGateways launches gateways in front of the platform's stand-ins and runs the gateway demo.
func (d *demoCommand) runGateways(logs io.Writer) error {
	fleet, err := launcher.LaunchGateways(launcher.DemoGatewaySpec(binDir(), logs))
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

// waitForInterrupt prints the addresses and tokens of the fleet and waits until the process is interrupted.
func (d *demoCommand) waitForInterrupt(fleet *launcher.Fleet) {
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

// binDir returns the directory of this executable, which also holds the other programs.
func binDir() string {
	executable, err := os.Executable()
	if err != nil {
		return "."
	}

	return filepath.Dir(executable)
}
