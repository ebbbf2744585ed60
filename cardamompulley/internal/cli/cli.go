package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"cardamompulley/fleet/configurator"
)

// Exit codes of the program. ExitInvalid means that a configuration or a patch is invalid, ExitStaleBase that a patch is
// based on a version other than the current one, ExitNotInForce that a rollout has not finished in time, and ExitRefused
// that a call returned an error status.
const (
	ExitOK         = subcommands.ExitSuccess
	ExitFailed     = subcommands.ExitFailure
	ExitUsage      = subcommands.ExitUsageError
	ExitInvalid    = subcommands.ExitStatus(3)
	ExitStaleBase  = subcommands.ExitStatus(4)
	ExitNotInForce = subcommands.ExitStatus(5)
	ExitRefused    = subcommands.ExitStatus(6)
	outputText     = "text"
	outputJSON     = "json"
)

// Run runs the command given by the arguments and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("cardamompulley", flag.ContinueOnError)
	flags.SetOutput(errs)
	commander := subcommands.NewCommander(flags, "cardamompulley")
	commander.Output, commander.Error = out, errs
	c := console{out: out, errs: errs}
	for _, command := range []subcommands.Command{
		commander.HelpCommand(),
		&patchCommand{console: c},
		&configCommand{console: c},
		&explainCommand{console: c},
		&fleetCommand{console: c},
		&rolloutCommand{console: c},
		&callCommand{console: c},
	} {
		commander.Register(command, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return int(ExitUsage)
	}

	return int(commander.Execute(context.Background()))
}

// console is the output of a command, as text or JSON. Results go to out, errors to errs.
type console struct {
	out, errs io.Writer
	output    string
}

func (c *console) addOutputFlag(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", outputText, "text or json")
}

// printResult writes a result as JSON, or as text by calling printText.
func (c *console) printResult(result any, printText func()) subcommands.ExitStatus {
	if c.output != outputJSON {
		printText()

		return ExitOK
	}
	if err := json.NewEncoder(c.out).Encode(result); err != nil {
		return c.fail(err)
	}

	return ExitOK
}

// fail prints an error and returns its exit code.
func (c *console) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(c.errs, err)
	switch {
	case errors.Is(err, configurator.ErrStaleBase):
		return ExitStaleBase
	case errors.Is(err, configurator.ErrInvalid), errors.Is(err, configurator.ErrValueTooLarge):
		return ExitInvalid
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

var (
	errUsage              = errors.New("cardamompulley: wrong arguments")
	errNotInForce         = errors.New("cardamompulley: version not in force everywhere")
	errUnexpectedResponse = errors.New("cardamompulley: unexpected answer")
)
