package launcher_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
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

// A connection that was opened in time is answered though its request comes when the gateway has begun to end.
func TestGatewayAnswersRequestsThatComeLate(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Events, s.Gap = 200, 20 })
	g := f.Gateways[0]
	var w sync.WaitGroup
	w.Go(func() { newCall(g, http.MethodPost, drafts).stream().send(t.Context()) })
	time.Sleep(100 * time.Millisecond)
	must(t, g.Signal(syscall.SIGTERM))
	time.Sleep(2200 * time.Millisecond)
	conn, err := net.Dial("tcp", g.Address("callers"))
	must(t, err)
	// As if the packet of the request had been lost and sent again.
	time.Sleep(250 * time.Millisecond)
	if a := sendRaw(t, conn, newCall(g, http.MethodGet, lookups)); a != http.StatusOK && a != http.StatusServiceUnavailable {
		t.Errorf("status %d", a)
	}
	w.Wait()
	must(t, g.Stop())
}

// sendRaw sends a request over an open connection and returns the status, or fails the test.
func sendRaw(t *testing.T, conn net.Conn, c *call) int {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nCardamompulley-Attempt-Id: %s\r\nCardamompulley-Key: %s\r\n\r\n",
		c.path, c.host, c.attempt, launcher.GatewayKey)
	must(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		t.Error("a refusal without Retry-After")
	}
	must(t, response.Body.Close())
	must(t, conn.Close())

	return response.StatusCode
}

// A connection whose packets come late is served as long as the process lives, or refused, but never closed without a word.
func TestGatewayAnswersConnectionsThatComeLate(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Events, s.Gap = 200, 20 })
	g := f.Gateways[0]
	var w sync.WaitGroup
	w.Go(func() { newCall(g, http.MethodPost, drafts).stream().send(t.Context()) })
	time.Sleep(100 * time.Millisecond)
	must(t, g.Signal(syscall.SIGTERM))
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		conn, err := net.Dial("tcp", g.Address("callers"))
		must(t, err)
		if a := sendRaw(t, conn, newCall(g, http.MethodGet, lookups)); a != http.StatusOK && a != http.StatusServiceUnavailable {
			t.Errorf("status %d", a)
		}
	}
	w.Wait()
	must(t, g.Stop())
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
