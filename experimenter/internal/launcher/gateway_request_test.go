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
		change func(*call)
		status int
	}{
		{"an unknown host", func(c *call) { c.host = "other.example" }, http.StatusNotFound},
		{"an unknown path", func(c *call) { c.path = "/nowhere/1" }, http.StatusNotFound},
		{"an unknown key", func(c *call) { c.header["Cardamompulley-Key"] = "wrong" }, http.StatusUnauthorized},
		{"no attempt id", func(c *call) { c.attempt = "" }, http.StatusBadRequest},
		{"a bad deadline", func(c *call) { c.header["Cardamompulley-Deadline-Ms"] = "soon" }, http.StatusBadRequest},
		{"bad token counts", func(c *call) { c.header["Cardamompulley-Token-Counts"] = "many" }, http.StatusBadRequest},
		{"a bad prompt", func(c *call) { c.header["Cardamompulley-Prompt-Prefix"] = "zz:1" }, http.StatusBadRequest},
		{"a long body", func(c *call) { c.body = strings.Repeat("x", 1<<20+1) }, http.StatusRequestEntityTooLarge},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newCall(f.Gateways[0], http.MethodPost, bookings)
			x.change(c)
			if a := c.get(t); a.status != x.status {
				t.Fatalf("status %d, want %d: %s", a.status, x.status, a.body)
			}
			if n := runsOf(t, f, c.attempt); n != 0 {
				t.Fatalf("%d runs", n)
			}
			if a := newCall(f.Gateways[0], http.MethodGet, lookups).get(t); a.status != http.StatusOK {
				t.Fatalf("the next request got %d", a.status)
			}
		})
	}
}

// A booking may run only once, so it must not be sent where bookings fail while another endpoint is well.
func TestGatewayAvoidsAFailingEndpoint(t *testing.T) {
	const bookingsSent, mostFailed = 30, 4
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	must(t, f.EndpointFaults("plain-1", `{"status": 500}`))
	failed := 0
	for range bookingsSent {
		if a := newCall(f.Gateways[0], http.MethodPost, bookings).get(t); a.status != http.StatusOK {
			failed++
		}
	}
	if failed == 0 || failed > mostFailed {
		t.Fatalf("%d of %d bookings failed", failed, bookingsSent)
	}
	must(t, f.EndpointFaults("plain-1", `{}`))
	deadline := time.Now().Add(20 * time.Second)
	for runs := 0; runs == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the endpoint that is well again gets no bookings")
		}
		c := newCall(f.Gateways[0], http.MethodPost, bookings)
		if a := c.get(t); a.status != http.StatusOK {
			t.Fatalf("status %d", a.status)
		}
		all, _, err := f.Runs("plain-1")
		must(t, err)
		for _, r := range all {
			if r.Attempt == c.attempt {
				runs++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestGatewayPassesRequestsUnchanged(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Plains = 1, 1 })
	c := newCall(f.Gateways[0], http.MethodPost, bookings+"?hour=18&hour=%31")
	c.body = `{"lane": 7}`
	c.header["X-Own"] = "kept"
	for _, forged := range []string{"Tenant", "Hold", "Pin-Ms", "Kv-Backup", "Target-Instance", "Request-Priority"} {
		c.header["Cardamompulley-"+forged] = "forged"
	}
	c.header["Kv-From"] = "forged"
	a := c.get(t)
	if a.status != http.StatusOK || a.header.Get("Cardamompulley-Response-Signature") != "signed-by-plain-1" {
		t.Fatalf("answer %+v", a)
	}
	runs, _, err := f.Runs("plain-1")
	must(t, err)
	r := runs[len(runs)-1]
	if r.Attempt != c.attempt || r.Method != c.method || r.Target != c.path || r.Body != c.body {
		t.Fatalf("ran %+v", r)
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

func TestGatewayFaultTable(t *testing.T) {
	cases := []struct {
		name   string
		method string
		path   string
		// first are the faults of both endpoints, second those of the second one where they differ.
		first  string
		second string
		status int
		runs   int
	}{
		{"all well", "GET", lookups, `{}`, "", 200, 1},
		{"idempotent, failed once", "GET", lookups, `{"status": 500}`, `{}`, 200, -1},
		{"idempotent, failed everywhere", "GET", lookups, `{"status": 500}`, "", 500, 2},
		{"idempotent, answer lost", "GET", lookups, `{"lose-answer": true}`, "", 502, 2},
		{"idempotent, crossed answers", "GET", lookups, `{"cross": true}`, "", 502, 2},
		{"once, failed", "POST", bookings, `{"status": 500}`, "", 500, 1},
		{"once, failed with a status that promises", "POST", bookings, `{"status": 429}`, "", 502, 1},
		{"once, failed with another one", "POST", bookings, `{"status": 503}`, "", 502, 1},
		{"once, answer lost", "POST", bookings, `{"lose-answer": true}`, "", 502, 1},
		{"once, crossed answer", "POST", bookings, `{"cross": true}`, "", 502, 1},
		{"once, unsigned answer", "POST", bookings, `{"unsigned": true}`, "", 502, 1},
		{"once, a full endpoint", "POST", bookings, `{"full": true}`, `{}`, 200, 1},
		{"once, all full", "POST", bookings, `{"full": true}`, "", 503, 0},
	}
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	settle()
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			second := x.second
			if second == "" {
				second = x.first
			}
			must(t, f.EndpointFaults("plain-1", x.first))
			must(t, f.EndpointFaults("plain-2", second))
			c := newCall(f.Gateways[0], x.method, x.path)
			a := c.get(t)
			if a.status != x.status {
				t.Fatalf("status %d, want %d: %s", a.status, x.status, a.body)
			}
			if n := runsOf(t, f, c.attempt); x.runs >= 0 && n != x.runs {
				t.Fatalf("%d runs, want %d", n, x.runs)
			}
			if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
				t.Fatal("a refusal without Retry-After")
			}
			if signed := a.header.Get("Cardamompulley-Response-Signature") != ""; signed != (a.status < 501) {
				t.Fatalf("signed = %v at status %d", signed, a.status)
			}
		})
	}
}

// A second answer on a kept connection belongs to no request.
func TestGatewayDropsSurplusAnswers(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Plains = 1, 1 })
	must(t, f.EndpointFaults("plain-1", `{"extra": true}`))
	for range 20 {
		c := newCall(f.Gateways[0], http.MethodGet, lookups)
		if a := c.get(t); a.status != http.StatusOK || a.header.Get("Cardamompulley-Attempt-Id") != c.attempt {
			t.Fatalf("answer %+v", a)
		}
	}
}

// An answer without a length may be of any size.
func TestGatewayPassesLongAnswers(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways, s.Plains = 1, 1 })
	for _, size := range []int{1, 64 << 10, 64<<10 + 1, 300_000} {
		must(t, f.EndpointFaults("plain-1", fmt.Sprintf(`{"long": %d}`, size)))
		c := newCall(f.Gateways[0], http.MethodPost, bookings)
		if a := c.get(t); a.status != http.StatusOK || len(a.body) != size {
			t.Fatalf("%d bytes: status %d and %d bytes", size, a.status, len(a.body))
		}
	}
}
