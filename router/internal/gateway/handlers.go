package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/forwarder"
)

// readyHandler responds with 200 while ready returns true, else with 503.
func readyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// metricsHandler serves the metrics in the Prometheus text format.
func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
		// An error means that the client has disconnected.
		_, _ = fmt.Fprintf(w, "control_bytes_total %d\n%s%s%s", g.controlTraffic.Total(), g.gauges(), g.unevenness(), roomMetrics(g.forwarder.RoomStates()))
	})
}

// gauges returns the era and revision of the store, the numbers of entries that name no endpoint, of endpoints that advertise a limit,
// say that they leave or have asked for a backoff, those of streams whose origins are remembered or were forgotten early, the number and
// mean age of the load reports of other gateways, and the number of refused callers that are still to come back.
func (g *Gateway) gauges() string {
	limited, leaving, backingOff := 0, 0, 0
	reports, reportAge := 0, timekeeper.Millis(0)
	g.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		limited = b.Limits.Count()
		leaving, backingOff = b.Notices.Counts(g.clock.Now())
		reports, reportAge = b.ReportAge(g.clock.Now())
	})
	origins, evicted := g.forwarder.OriginCounts()
	callersOut := g.forwarder.CallersOut()
	g.mu.Lock()
	defer g.mu.Unlock()
	unusable := 0
	for _, d := range g.decoded.endpoints {
		if d.isUnusable() {
			unusable++
		}
	}

	return fmt.Sprintf("gateway_unusable_endpoint_entries %d\ngateway_store_era %d\ngateway_store_revision %d\ngateway_limited_endpoints %d\n"+
		"gateway_leaving_endpoints %d\ngateway_backoff_endpoints %d\n"+
		"gateway_stream_origins %d\ngateway_stream_origins_evicted_total %d\n"+
		"gateway_load_reports %d\ngateway_load_report_age_ms %d\ngateway_refused_callers_out %d\n",
		unusable, g.storePosition.Era, g.storePosition.Revision, limited, leaving, backingOff, origins, evicted, reports, reportAge, callersOut)
}

// unevenness returns a gauge for each service: the largest load that this gateway expects at an endpoint, over the mean.
func (g *Gateway) unevenness() string {
	v := g.view.Load()
	if v == nil {
		return ""
	}
	var uneven map[model.ServiceID]float64
	g.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) { uneven = b.Unevenness(v, g.clock.Now()) })
	var lines strings.Builder
	for _, id := range slices.Sorted(maps.Keys(uneven)) {
		fmt.Fprintf(&lines, "gateway_load_unevenness{service=%q} %.2f\n", id, uneven[id])
	}

	return lines.String()
}

// roomMetrics returns the metrics of the rooms of plain services.
func roomMetrics(rooms []forwarder.RoomState) string {
	var b strings.Builder
	for _, r := range rooms {
		write := func(name string, value float64) {
			fmt.Fprintf(&b, "gateway_room_%s{service=%q} %g\n", name, r.Service, value)
		}
		write("limit", r.Limit)
		write("under_way", float64(r.UnderWay))
		write("waiting", float64(r.Waiting))
		write("waited_total", float64(r.Waited))
		write("waited_seconds_total", r.WaitedTime.Duration().Seconds())
		write("refused_total", float64(r.Refused))
	}

	return b.String()
}
