package launcher_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
)

func wholeStream(events int) string {
	var b bytes.Buffer
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}

	return b.String()
}

func TestGatewayStreams(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	settle()
	if a := newCall(f.Gateways[0], http.MethodPost, drafts).stream().get(t); a.body != wholeStream(20) {
		t.Fatalf("stream %q", a.body)
	}
	for id := range f.Endpoints {
		if strings.HasPrefix(string(id), "engine") {
			must(t, f.EndpointFaults(id, `{"cut-after": 12}`))
		}
	}
	c := newCall(f.Gateways[0], http.MethodPost, edits).stream()
	if a := c.get(t); a.body != wholeStream(20) || runsOf(t, f, c.attempt) != 2 {
		t.Fatalf("resumed stream %q", a.body)
	}
	c = newCall(f.Gateways[0], http.MethodPost, drafts).stream()
	if a := c.send(t.Context()); a.err == nil || a.body != wholeStream(12) || runsOf(t, f, c.attempt) != 1 {
		t.Fatalf("a cut stream looked complete: %+v", a)
	}
	must(t, f.EndpointFaults("plain-1", `{"cut-after": 12}`))
	must(t, f.EndpointFaults("plain-2", `{"cut-after": 12}`))
	c = newCall(f.Gateways[0], http.MethodGet, lookups).stream()
	if a := c.send(t.Context()); a.err == nil || a.body != wholeStream(12) || runsOf(t, f, c.attempt) != 1 {
		t.Fatalf("a stream that cannot be resumed went on elsewhere: %+v", a)
	}
}

// Killing an endpoint in the middle of resumable streams costs no caller an event.
func TestGatewayResumesAfterACrash(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Events, s.Gap = 60, timekeeper.Millis(10) })
	settle()
	var w sync.WaitGroup
	var whole atomic.Int64
	const callers = 10
	for n := range callers {
		w.Go(func() {
			c := newCall(f.Gateways[n%2], http.MethodPost, edits).stream()
			c.header["Cardamompulley-Prompt-Prefix"] = fmt.Sprintf("a1:50,%x:50,c3:20", n+16)
			if a := c.send(t.Context()); a.err == nil && a.body == wholeStream(60) {
				whole.Add(1)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	f.Endpoints["engine-1"].Kill()
	w.Wait()
	if n := whole.Load(); n != callers {
		t.Fatalf("%d of %d streams were whole", n, callers)
	}
}
