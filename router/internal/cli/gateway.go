package cli

import (
	"fmt"
	"io"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/gateway"
)

func runGateway(arguments []string, out, errs io.Writer) int {
	s := gateway.NewSettings()
	path, code, done := runner.ParsePath("router gateway", arguments, gateway.Options(&s), out, errs)
	if done {
		return code
	}
	clock := timekeeper.NewSystem()
	lines := logger.NewBounded(out, s.LogLines, clock.Now)
	defer lines.Close()
	log := logger.NewLogger(lines, s.Process)
	log.Write(logger.EventStarted, logger.String("program", "router gateway"))
	if err := gateway.Serve(path, s, clock, log); err != nil {
		fmt.Fprintln(errs, err)

		return runner.ExitFailed
	}

	return runner.ExitOK
}
