package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

func TestGatewayStopsWorkOfCallersThatLeave(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines = 1, 1 })
	must(t, f.EndpointFaults("engine-1", `{"hold": true}`))
	ctx, leave := context.WithCancel(t.Context())
	c := newCall(f.Gateways[0], http.MethodPost, drafts).stream()
	c.body = "a body"
	go c.send(ctx)
	running := func(want int) func() bool {
		return func() bool {
			_, n, err := f.Runs("engine-1")

			return err == nil && n == want
		}
	}
	eventually(t, "the request runs", 3*time.Second, running(1))
	leave()
	eventually(t, "the request is cancelled", 500*time.Millisecond, running(0))
}

// Rolling stops cut no request and no stream.
func TestGatewayStopCutsNothing(t *testing.T) {
	const callers = 12
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Events, s.Gap = 60, 20 })
	var w sync.WaitGroup
	faults := make(chan string, callers)
	for range callers {
		w.Go(func() {
			if a := newCall(f.Gateways[0], http.MethodPost, drafts).stream().send(t.Context()); a.err != nil || a.body != wholeStream(60) {
				faults <- fmt.Sprintf("%d %v", a.status, a.err)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	must(t, f.Gateways[0].Signal(syscall.SIGTERM))
	must(t, f.Gateways[0].Signal(syscall.SIGHUP))
	eventually(t, "the balancer is told", 500*time.Millisecond, func() bool { return !f.Ready(f.Gateways[0]) })
	if a := newCall(f.Gateways[0], http.MethodGet, lookups).get(t); a.status != http.StatusOK {
		t.Fatalf("a request before the balancer has noticed got %d", a.status)
	}
	w.Wait()
	close(faults)
	for x := range faults {
		t.Error(x)
	}
	must(t, f.Gateways[0].Stop())
}
