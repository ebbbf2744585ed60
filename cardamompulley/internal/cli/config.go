package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
)

// configCommand validates a complete configuration document offline: the fleet's own (lint) or the platform's (check).
type configCommand struct {
	console
	against string
}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "validate a configuration document" }
func (*configCommand) Usage() string {
	return "config [--output text|json] lint FILE\nconfig [--output text|json] check FILE [--against FILE]\n"
}

// SetFlags adds the flags of the command.
func (c *configCommand) SetFlags(f *flag.FlagSet) {
	c.addOutputFlag(f)
	f.StringVar(&c.against, "against", "", "configuration in force, for check")
}

type lintResult struct {
	File      string `json:"file"`
	Services  int    `json:"services"`
	Endpoints int    `json:"endpoints"`
	Accounts  int    `json:"accounts"`
}

// Execute validates one file and prints a summary of it or what was found.
func (c *configCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() >= 2 && f.Arg(0) == "check" {
		return c.check(f)
	}
	if f.NArg() != 2 || c.against != "" || f.Arg(0) != "lint" {
		return c.fail(fmt.Errorf("%w: %s", errUsage, c.Usage()))
	}
	raw, err := os.ReadFile(f.Arg(1))
	if err != nil {
		return c.fail(fmt.Errorf("cardamompulley: %w", err))
	}
	var document model.Document
	if err := configurator.DecodeStrict(raw, &document); err != nil {
		return c.fail(fmt.Errorf("%s: %w", f.Arg(1), err))
	}
	if err := configurator.Validate(document); err != nil {
		return c.fail(err)
	}
	if _, err := configurator.EncodeVersion(1, document); err != nil {
		return c.fail(err)
	}
	result := lintResult{
		File: f.Arg(1), Services: len(document.Fleet.Services),
		Endpoints: len(document.Fleet.Endpoints), Accounts: len(document.Accounts),
	}

	return c.printResult(result, func() {
		fmt.Fprintf(c.out, "%s: good: %d services, %d endpoints, %d accounts\n",
			result.File, result.Services, result.Endpoints, result.Accounts)
	})
}
