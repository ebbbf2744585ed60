package cli

import (
	"io"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/gateway"
)

func runGateway(arguments []string, out, errs io.Writer) int {
	s := gateway.NewSettings()

	return runner.Main("router gateway", arguments, gateway.Options(&s), out, errs, func(path string) error {
		clock := timekeeper.NewSystemClock()
		lines := logger.NewRateLimitedWriter(out, s.LogLines, clock.Now)
		defer lines.Close()
		log := logger.NewLogger(lines, s.Process)
		log.Write(logger.EventProcessStarted, logger.String("program", "router gateway"))

		return gateway.Serve(path, s, clock, log)
	})
}
