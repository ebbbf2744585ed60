package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"cardamompulley/experimenter/internal/measurer"
)

type measureCommand struct {
	out, errs    io.Writer
	outputFormat string
}

func (*measureCommand) Name() string     { return "measure" }
func (*measureCommand) Synopsis() string { return "compare placement and admission with baselines" }
func (*measureCommand) Usage() string    { return "measure [--output text|json]\n" }

// SetFlags registers the flags.
func (m *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&m.outputFormat, "output", "text", "output format: text or json")
}

// Execute runs the measurements and prints their results as text tables or JSON.
func (m *measureCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	rows, err := measurer.MeasurePolicies()
	if err != nil {
		fmt.Fprintln(m.errs, err)

		return subcommands.ExitFailure
	}
	rollouts := measurer.MeasureRollouts()
	if m.outputFormat == "json" {
		err = json.NewEncoder(m.out).Encode(map[string]any{"rows": rows, "rollouts": rollouts})
	} else {
		measurer.PrintResults(m.out, rows)
		measurer.PrintRolloutResults(m.out, rollouts)
	}
	if err != nil {
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}
