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

// spanCollector plays an OTLP collector and keeps the trace of each span name.
type spanCollector struct {
	mu     sync.Mutex
	traces map[string]string
}

// ServeHTTP takes one export.
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
				c.traces[span.Name] = hex.EncodeToString(span.TraceId)
			}
		}
	}
}

func TestTraceCrossesProcesses(t *testing.T) {
	c := &spanCollector{traces: map[string]string{}}
	server := httptest.NewServer(c)
	defer server.Close()
	settings := map[string]any{"collector": server.URL + "/v1/traces"}
	f := launch(t, func(s *launcher.Spec) {
		s.SidecarSettings = settings
		s.RouterSettings = settings
	})
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	r, err := callerOf(f, 0).Call(http.MethodGet, "/services/lane-app/lookup/a", nil,
		map[string]string{"Traceparent": "00-" + trace + "-00f067aa0ba902b7-01"})
	if err != nil || r.Status != http.StatusOK {
		t.Fatalf("%v %+v", err, r)
	}
	if err := f.Stop(); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range []string{"router.service", "sidecar.run"} {
		if c.traces[name] != trace {
			t.Errorf("span %s has trace %q", name, c.traces[name])
		}
	}
}
