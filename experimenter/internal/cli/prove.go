package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"cardamompulley/experimenter/internal/prover"
)

const (
	seedsEnv        = "PROVE_SEEDS"
	defaultSeeds    = 10_000
	maxPrintedSeeds = 10
)

type proveCommand struct {
	out, errs io.Writer
	firstSeed uint64
	seedCount int
}

func (*proveCommand) Name() string     { return "prove" }
func (*proveCommand) Synopsis() string { return "check every property under random fault schedules" }
func (*proveCommand) Usage() string    { return "prove [--first SEED] [--seeds N]\n" }

// SetFlags registers the flags. The environment variable PROVE_SEEDS sets the default number of seeds.
func (p *proveCommand) SetFlags(f *flag.FlagSet) {
	seedCount := defaultSeeds
	if n, err := strconv.Atoi(os.Getenv(seedsEnv)); err == nil && n > 0 {
		seedCount = n
	}
	f.Uint64Var(&p.firstSeed, "first", 1, "first seed")
	f.IntVar(&p.seedCount, "seeds", seedCount, "number of seeds, one fault schedule each, per property")
}

// Execute checks every property, prints the schedules, violations and faults of each, and fails if there are violations.
func (p *proveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	for _, property := range prover.Properties() {
		result := prover.Check(property, p.firstSeed, p.seedCount)
		fmt.Fprintf(p.out, "%-36s schedules %d  violations %d\n", property.Name, result.Schedules, len(result.FailedSeeds))
		fmt.Fprintf(p.out, "    faults: %s\n", property.Faults)
		if result.FirstViolation != nil {
			status = subcommands.ExitFailure
			fmt.Fprintf(p.errs, "    seeds %v: %v\n", result.FailedSeeds[:min(len(result.FailedSeeds), maxPrintedSeeds)], result.FirstViolation)
		}
	}

	return status
}
