package cli

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
)

// Run runs the subcommand that the arguments select and returns its exit code.
func Run(arguments []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("experimenter", flag.ContinueOnError)
	flags.SetOutput(errs)
	commander := subcommands.NewCommander(flags, "experimenter")
	commander.Output, commander.Error = out, errs
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&demoCommand{out: out, errs: errs}, "")
	commander.Register(&proveCommand{out: out, errs: errs}, "")
	commander.Register(&measureCommand{out: out, errs: errs}, "")
	commander.Register(&slopesCommand{out: out, errs: errs}, "")
	commander.Register(&benchCommand{out: out, errs: errs}, "")
	if err := flags.Parse(arguments); err != nil {
		return int(subcommands.ExitUsageError)
	}

	return int(commander.Execute(context.Background()))
}
