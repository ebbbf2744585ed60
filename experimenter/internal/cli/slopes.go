package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"cardamompulley/experimenter/internal/sloper"
)

type slopesCommand struct {
	out, errs io.Writer
}

func (*slopesCommand) Name() string             { return "slopes" }
func (*slopesCommand) Synopsis() string         { return "extrapolate resource costs to the target size" }
func (*slopesCommand) Usage() string            { return "slopes\n" }
func (*slopesCommand) SetFlags(_ *flag.FlagSet) {}

// Execute runs the measurements and prints the tables of docs/CAPACITY.md.
func (s *slopesCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	results, err := sloper.MeasureCosts()
	if err != nil {
		fmt.Fprintln(s.errs, err)

		return subcommands.ExitFailure
	}
	sloper.PrintResults(s.out, results)
	fmt.Fprintln(s.out)
	if err := sloper.MeasureGateways(s.out, binDir()); err != nil {
		fmt.Fprintln(s.errs, err)

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}
