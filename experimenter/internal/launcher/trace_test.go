package launcher_test

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"cardamompulley/experimenter/internal/launcher"
)

// spanCollector is an OTLP collector that records the trace ID of the last span of each name.
type spanCollector struct {
	mu       sync.Mutex
	traceIDs map[string]string
}

// ServeHTTP records the spans of an export request.
func (c *spanCollector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var export collector.ExportTraceServiceRequest
	if err != nil || proto.Unmarshal(raw, &export) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range export.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				c.traceIDs[span.Name] = hex.EncodeToString(span.TraceId)
			}
		}
	}
}

func TestTracePropagatesFromRouterToSidecar(t *testing.T) {
	c := &spanCollector{traceIDs: map[string]string{}}
	server := httptest.NewServer(c)
	defer server.Close()
	settings := map[string]any{"collector": server.URL + "/v1/traces"}
	f := launch(t, func(s *launcher.Spec) {
		s.SidecarSettings = settings
		s.RouterSettings = settings
	})
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	r, err := clientOf(f, 0).Call(http.MethodGet, "/services/lane-app/lookup/a", nil,
		map[string]string{"Traceparent": "00-" + traceID + "-00f067aa0ba902b7-01"})
	if err != nil || r.Status != http.StatusOK {
		t.Fatalf("%v %+v", err, r)
	}
	if err := f.Stop(); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range []string{"router.service", "sidecar.run"} {
		if c.traceIDs[name] != traceID {
			t.Errorf("span %s has trace id %q", name, c.traceIDs[name])
		}
	}
}
