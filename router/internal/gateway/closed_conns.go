package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/logger"
)

var (
	requestsDropped       = metrics.NewCounter("gateway_requests_dropped_total")
	connsClosedAtShutdown = metrics.NewCounter("gateway_connections_closed_at_shutdown_total")
)

// recordClosedConn counts and logs a caller's connection whose close during shutdown may have cost a request: one on which a
// request, or a part of one, has been read and not answered, and one that waited for a request, since a caller may just have
// sent it. At other times connections are closed on callers that stop sending.
func (g *Gateway) recordClosedConn(c drainer.Closed) {
	if !g.isShuttingDown.Load() {
		return
	}
	fields := []logger.Field{
		logger.String("caller", c.RemoteAddr),
		logger.Int("requests", c.Requests),
		logger.Int("unanswered-bytes", c.UnansweredBytes),
		logger.Int("since-read-ms", c.SinceRead),
		logger.Int("since-waiting-ms", c.SinceWaiting),
	}
	if c.WasDropped {
		requestsDropped.Inc()
		g.log.Write(logger.EventRequestDropped, fields...)

		return
	}
	if c.WasWaiting {
		connsClosedAtShutdown.Inc()
		g.log.Write(logger.EventConnClosedAtShutdown, fields...)
	}
}
