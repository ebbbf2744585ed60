package gateway

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

func readyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
		// A reader that has left does not need the rest.
		_, _ = fmt.Fprintf(w, "control_bytes_total %d\n", g.control.Total())
	})
}
