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

func TestGatewayCancelsRequestOnCallerDisconnect(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Engines = 1, 1 })
	must(t, f.SetEndpointFaults("engine-1", `{"hold": true}`))
	ctx, disconnect := context.WithCancel(t.Context())
	c := newGatewayCall(f.Gateways[0], http.MethodPost, draftsPath).asStream()
	c.body = "a body"
	go c.send(ctx)
	hasRunning := func(want int) func() bool {
		return func() bool {
			_, n, err := f.ExecutedRequests("engine-1")

			return err == nil && n == want
		}
	}
	waitFor(t, "the request is running", 3*time.Second, hasRunning(1))
	disconnect()
	waitFor(t, "the request is cancelled", 500*time.Millisecond, hasRunning(0))
}

// A connection that was opened while a gateway that shuts down still served new ones must get a response even if its request
// arrives after that time.
func TestGatewayAnswersLateRequestDuringShutdown(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.EventsPerStream, s.EventInterval = 200, 20 })
	g := f.Gateways[0]
	var w sync.WaitGroup
	w.Go(func() { newGatewayCall(g, http.MethodPost, draftsPath).asStream().send(t.Context()) })
	time.Sleep(100 * time.Millisecond)
	must(t, g.Signal(syscall.SIGTERM))
	time.Sleep(2200 * time.Millisecond)
	conn, err := net.Dial("tcp", g.Address("callers"))
	must(t, err)
	// Simulates the retransmission of a lost request packet.
	time.Sleep(250 * time.Millisecond)
	if status := sendRaw(t, conn, newGatewayCall(g, http.MethodGet, lookupsPath)); status != http.StatusOK &&
		status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	w.Wait()
	must(t, g.Stop())
}

// sendRaw sends a request over an open connection and returns the status. It fails the test if there is no response or a
// refusal has no Retry-After.
func sendRaw(t *testing.T, conn net.Conn, c *gatewayCall) int {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nCardamompulley-Attempt-Id: %s\r\nCardamompulley-Key: %s\r\n\r\n",
		c.path, c.host, c.attemptID, launcher.GatewayAPIKey)
	must(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		t.Error("refusal without Retry-After")
	}
	must(t, response.Body.Close())
	must(t, conn.Close())

	return response.StatusCode
}

// Connections that arrive during shutdown must be served or refused, but never closed without a response.
func TestGatewayAnswersLateConnectionsDuringShutdown(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.EventsPerStream, s.EventInterval = 200, 20 })
	g := f.Gateways[0]
	var w sync.WaitGroup
	w.Go(func() { newGatewayCall(g, http.MethodPost, draftsPath).asStream().send(t.Context()) })
	time.Sleep(100 * time.Millisecond)
	must(t, g.Signal(syscall.SIGTERM))
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		conn, err := net.Dial("tcp", g.Address("callers"))
		must(t, err)
		if status := sendRaw(t, conn, newGatewayCall(g, http.MethodGet, lookupsPath)); status != http.StatusOK &&
			status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	}
	w.Wait()
	must(t, g.Stop())
}

// A rolling restart must not interrupt requests or streams: the gateway fails its readiness check first and still serves new
// requests until the load balancer has noticed. A SIGHUP during shutdown must not disturb it.
func TestGatewayShutdownCompletesStreams(t *testing.T) {
	const clientCount = 12
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.EventsPerStream, s.EventInterval = 60, 20 })
	var w sync.WaitGroup
	failures := make(chan string, clientCount)
	for range clientCount {
		w.Go(func() {
			if r := newGatewayCall(f.Gateways[0], http.MethodPost, draftsPath).asStream().send(t.Context()); r.err != nil ||
				r.body != completeStream(60) {
				failures <- fmt.Sprintf("%d %v", r.status, r.err)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	must(t, f.Gateways[0].Signal(syscall.SIGTERM))
	must(t, f.Gateways[0].Signal(syscall.SIGHUP))
	waitFor(t, "the readiness check fails", 500*time.Millisecond, func() bool { return !f.IsReady(f.Gateways[0]) })
	if r := newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath).mustSend(t); r.status != http.StatusOK {
		t.Fatalf("request before the load balancer noticed the shutdown: status %d", r.status)
	}
	w.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
	must(t, f.Gateways[0].Stop())
}
