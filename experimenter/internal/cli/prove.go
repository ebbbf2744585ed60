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
	seedsVariable = "PROVE_SEEDS"
	defaultSeeds  = 10_000
	shownSeeds    = 10
)

type proveCommand struct {
	out, errs io.Writer
	first     uint64
	seeds     int
}

func (*proveCommand) Name() string     { return "prove" }
func (*proveCommand) Synopsis() string { return "run random schedules of faults against every promise" }
func (*proveCommand) Usage() string    { return "prove [--first SEED] [--seeds N]\n" }

// SetFlags declares the flags; PROVE_SEEDS sets the default number of seeds.
func (p *proveCommand) SetFlags(f *flag.FlagSet) {
	seeds := defaultSeeds
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil && n > 0 {
		seeds = n
	}
	f.Uint64Var(&p.first, "first", 1, "first seed")
	f.IntVar(&p.seeds, "seeds", seeds, "schedules for each promise")
}

// Execute prints one line for each promise and fails when one was broken.
func (p *proveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	for _, promise := range prover.Promises() {
		r := prover.Prove(promise, p.first, p.seeds)
		fmt.Fprintf(p.out, "%-36s schedules %d  violations %d\n", promise.Name, r.Schedules, len(r.Violations))
		fmt.Fprintf(p.out, "    faults: %s\n", promise.Faults)
		if r.First != nil {
			status = subcommands.ExitFailure
			fmt.Fprintf(p.errs, "    seeds %v: %v\n", r.Violations[:min(len(r.Violations), shownSeeds)], r.First)
		}
	}

	return status
}
