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
	out, errs io.Writer
	output    string
}

func (*measureCommand) Name() string     { return "measure" }
func (*measureCommand) Synopsis() string { return "measure placement and admission against baselines" }
func (*measureCommand) Usage() string    { return "measure [--output text|json]\n" }

// SetFlags declares the flags.
func (m *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&m.output, "output", "text", "text or json")
}

// Execute prints the table of the users' measures.
func (m *measureCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	rows, err := measurer.MeasurePolicies()
	if err != nil {
		fmt.Fprintln(m.errs, err)

		return subcommands.ExitFailure
	}
	rollouts := measurer.MeasureRollouts()
	if m.output == "json" {
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
