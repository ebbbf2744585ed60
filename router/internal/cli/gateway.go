package cli

import (
	"io"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/gateway"
)

// runGateway runs the gateway until the process is signalled to stop, and returns the exit code.
func runGateway(arguments []string, out, errs io.Writer) int {
	s := gateway.NewSettings()

	return runner.Main("router gateway", arguments, gateway.Options(&s), out, errs, func(path string) error {
		clock := timekeeper.NewSystemClock()
		logLines := logger.NewRateLimitedWriter(out, s.LogLinesPerSecond, clock.Now)
		defer logLines.Close()
		log := logger.NewLogger(logLines, s.Process)
		log.Write(logger.EventProcessStarted, logger.String("program", "router gateway"))

		return gateway.Serve(path, s, clock, log)
	})
}
