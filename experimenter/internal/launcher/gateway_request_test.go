package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
)

func TestGatewayRefusesBadInput(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	cases := []struct {
		name   string
		modify func(*gatewayCall)
		status int
	}{
		{"an unknown host", func(c *gatewayCall) { c.host = "other.example" }, http.StatusNotFound},
		{"an unknown path", func(c *gatewayCall) { c.path = "/nowhere/1" }, http.StatusNotFound},
		{"an unknown key", func(c *gatewayCall) { c.headers["Cardamompulley-Key"] = "wrong" }, http.StatusUnauthorized},
		{"no attempt id", func(c *gatewayCall) { c.attemptID = "" }, http.StatusBadRequest},
		{"a bad deadline", func(c *gatewayCall) { c.headers["Cardamompulley-Deadline-Ms"] = "soon" }, http.StatusBadRequest},
		{"bad token counts", func(c *gatewayCall) { c.headers["Cardamompulley-Token-Counts"] = "many" }, http.StatusBadRequest},
		{"a bad prompt", func(c *gatewayCall) { c.headers["Cardamompulley-Prompt-Prefix"] = "zz:1" }, http.StatusBadRequest},
		{"a long body", func(c *gatewayCall) { c.body = strings.Repeat("x", 1<<20+1) }, http.StatusRequestEntityTooLarge},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath)
			x.modify(c)
			if r := c.mustSend(t); r.status != x.status {
				t.Fatalf("status %d, want %d: %s", r.status, x.status, r.body)
			}
			if n := executionCount(t, f, c.attemptID); n != 0 {
				t.Fatalf("%d executions", n)
			}
			if r := newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath).mustSend(t); r.status != http.StatusOK {
				t.Fatalf("next request: status %d", r.status)
			}
		})
	}
}

// A failed booking cannot be retried, so bookings must not go to a failing endpoint while another one is healthy. After the
// endpoint has recovered, it must get bookings again.
func TestGatewayEjectsFailingEndpointAndLetsItRecover(t *testing.T) {
	const bookingCount, maxFailed = 30, 4
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	must(t, f.SetEndpointFaults("plain-1", `{"status": 500}`))
	failed := 0
	for range bookingCount {
		if r := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath).mustSend(t); r.status != http.StatusOK {
			failed++
		}
	}
	if failed == 0 || failed > maxFailed {
		t.Fatalf("%d of %d bookings failed", failed, bookingCount)
	}
	must(t, f.SetEndpointFaults("plain-1", `{}`))
	deadline := time.Now().Add(20 * time.Second)
	for executions := 0; executions == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the recovered endpoint gets no bookings")
		}
		c := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath)
		if r := c.mustSend(t); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
		executed, _, err := f.ExecutedRequests("plain-1")
		must(t, err)
		for _, r := range executed {
			if r.AttemptID == c.attemptID {
				executions++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestGatewayForwardsRequestsUnchanged(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.PlainEndpoints = 1, 1 })
	c := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath+"?hour=18&hour=%31")
	c.body = `{"lane": 7}`
	c.headers["X-Own"] = "kept"
	for _, name := range []string{"Tenant", "Hold", "Pin-Ms", "Kv-Backup", "Target-Instance", "Request-Priority"} {
		c.headers["Cardamompulley-"+name] = "forged"
	}
	c.headers["Kv-From"] = "forged"
	response := c.mustSend(t)
	if response.status != http.StatusOK || response.header.Get("Cardamompulley-Response-Signature") != "signed-by-plain-1" {
		t.Fatalf("response %+v", response)
	}
	executed, _, err := f.ExecutedRequests("plain-1")
	must(t, err)
	r := executed[len(executed)-1]
	if r.AttemptID != c.attemptID || r.Method != c.method || r.RequestURI != c.path || r.Body != c.body {
		t.Fatalf("executed %+v", r)
	}
	want := map[string]string{
		"X-Own": "kept", "Cardamompulley-Key": "", "Cardamompulley-Tenant": "demo-account",
		"Cardamompulley-Target-Instance": "plain-1", "Cardamompulley-Hold": "", "Cardamompulley-Pin-Ms": "",
		"Cardamompulley-Kv-Backup": "", "Kv-From": "", "Cardamompulley-Request-Priority": "",
	}
	for name, value := range want {
		if got := r.Header.Get(name); got != value {
			t.Errorf("%s: %q, want %q", name, got, value)
		}
	}
}

// A gateway must resend only what cannot have been executed or is idempotent. It must not pass on statuses 429 and 503 of an
// endpoint that may have executed the request, because callers take them as a promise that it was not executed.
func TestGatewayEndpointFailures(t *testing.T) {
	cases := []struct {
		name   string
		method string
		path   string
		// plain1Faults applies to both endpoints if plain2Faults is empty.
		plain1Faults string
		plain2Faults string
		status       int
		executions   int
	}{
		{"no fault", "GET", lookupsPath, `{}`, "", 200, 1},
		{"idempotent, failed once", "GET", lookupsPath, `{"status": 500}`, `{}`, 200, -1},
		{"idempotent, failed everywhere", "GET", lookupsPath, `{"status": 500}`, "", 500, 2},
		{"idempotent, response lost", "GET", lookupsPath, `{"lose-answer": true}`, "", 502, 2},
		{"idempotent, mismatched attempt id", "GET", lookupsPath, `{"cross": true}`, "", 502, 2},
		{"not idempotent, status 500", "POST", bookingsPath, `{"status": 500}`, "", 500, 1},
		{"not idempotent, status 429", "POST", bookingsPath, `{"status": 429}`, "", 502, 1},
		{"not idempotent, status 503", "POST", bookingsPath, `{"status": 503}`, "", 502, 1},
		{"not idempotent, response lost", "POST", bookingsPath, `{"lose-answer": true}`, "", 502, 1},
		{"not idempotent, mismatched attempt id", "POST", bookingsPath, `{"cross": true}`, "", 502, 1},
		{"not idempotent, unsigned response", "POST", bookingsPath, `{"unsigned": true}`, "", 502, 1},
		{"not idempotent, rejected by one endpoint", "POST", bookingsPath, `{"full": true}`, `{}`, 200, 1},
		{"not idempotent, rejected by all endpoints", "POST", bookingsPath, `{"full": true}`, "", 503, 0},
	}
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	waitForRetryBudget()
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			plain2Faults := x.plain2Faults
			if plain2Faults == "" {
				plain2Faults = x.plain1Faults
			}
			must(t, f.SetEndpointFaults("plain-1", x.plain1Faults))
			must(t, f.SetEndpointFaults("plain-2", plain2Faults))
			c := newGatewayCall(f.Gateways[0], x.method, x.path)
			r := c.mustSend(t)
			if r.status != x.status {
				t.Fatalf("status %d, want %d: %s", r.status, x.status, r.body)
			}
			if n := executionCount(t, f, c.attemptID); x.executions >= 0 && n != x.executions {
				t.Fatalf("%d executions, want %d", n, x.executions)
			}
			if r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "" {
				t.Fatal("refusal without Retry-After")
			}
			if isSigned := r.header.Get("Cardamompulley-Response-Signature") != ""; isSigned != (r.status < 501) {
				t.Fatalf("signed = %v at status %d", isSigned, r.status)
			}
		})
	}
}

// An unsolicited second response on a kept-alive connection must not be taken for the response to the next request.
func TestGatewayDiscardsUnsolicitedResponses(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.PlainEndpoints = 1, 1 })
	must(t, f.SetEndpointFaults("plain-1", `{"extra": true}`))
	for range 20 {
		c := newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath)
		if r := c.mustSend(t); r.status != http.StatusOK || r.header.Get("Cardamompulley-Attempt-Id") != c.attemptID {
			t.Fatalf("response %+v", r)
		}
	}
}

// Responses of any size must be forwarded completely, also without Content-Length.
func TestGatewayForwardsResponsesWithoutLength(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.PlainEndpoints = 1, 1 })
	for _, size := range []int{1, 64 << 10, 64<<10 + 1, 300_000} {
		must(t, f.SetEndpointFaults("plain-1", fmt.Sprintf(`{"long": %d}`, size)))
		c := newGatewayCall(f.Gateways[0], http.MethodPost, bookingsPath)
		if r := c.mustSend(t); r.status != http.StatusOK || len(r.body) != size {
			t.Fatalf("response of %d bytes: got status %d and %d bytes", size, r.status, len(r.body))
		}
	}
}
