package launcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/timekeeper"
)

const (
	edits    = "/edits/section-1"
	drafts   = "/drafts/meeting-1"
	lookups  = "/lookups/record-1"
	bookings = "/bookings/lane-7"
)

func launchGateways(t *testing.T, change func(*launcher.GatewaySpec)) *launcher.GatewayFleet {
	t.Helper()
	spec := launcher.GatewaySpec{
		Programs: os.Getenv("CARDAMOMPULLEY_BIN"), Gateways: 2, Engines: 2, Plains: 2, Events: 20, Gap: 5, Logs: io.Discard,
	}
	if change != nil {
		change(&spec)
	}
	f, err := launcher.LaunchGateways(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)

	return f
}

var attempts atomic.Int64

// call is one request of a caller with the platform's headers.
type call struct {
	gateway *launcher.Process
	method  string
	path    string
	host    string
	body    string
	header  map[string]string
	attempt string
}

func newCall(g *launcher.Process, method, path string) *call {
	return &call{
		gateway: g, method: method, path: path, host: launcher.GatewayHost,
		attempt: fmt.Sprintf("attempt-%d", attempts.Add(1)),
		header:  map[string]string{"Cardamompulley-Key": launcher.GatewayKey, "Cardamompulley-Deadline-Ms": "4000"},
	}
}

func (c *call) stream() *call {
	c.header["Cardamompulley-Model"] = "m"
	c.header["Cardamompulley-Token-Counts"] = "120,80"
	c.header["Cardamompulley-Prompt-Prefix"] = "a1:50,b2:50,c3:20"

	return c
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *call) send(ctx context.Context) reply {
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.Address("callers")+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = c.host
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	if c.attempt != "" {
		r.Header.Set("Cardamompulley-Attempt-Id", c.attempt)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func (c *call) get(t *testing.T) reply {
	t.Helper()
	a := c.send(t.Context())
	if a.err != nil {
		t.Fatalf("%s %s: %v", c.method, c.path, a.err)
	}

	return a
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, span time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(span); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", span, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// settle waits until new gateways spend their shares of the retry budget.
func settle() {
	time.Sleep(1600 * time.Millisecond)
}

func runsOf(t *testing.T, f *launcher.GatewayFleet, attempt string) int {
	t.Helper()
	n, err := f.RunsOf(attempt)
	must(t, err)

	return n
}

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
		"X-Own": "kept", "Cardamompulley-Key": "", "Cardamompulley-Tenant": launcher.GatewayAccount,
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
		if strings.HasPrefix(id, "engine") {
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

// A gateway that starts while the store is away learns everything from another one.
func TestGatewayStartsWhileTheStoreIsAway(t *testing.T) {
	for _, fault := range []string{`{"status": 503}`, `{"status": 429}`, `{"silent": true}`, `{"reset": true}`} {
		t.Run(fault, func(t *testing.T) {
			f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
			must(t, f.StoreFaults(fault))
			g, err := f.StartGateway()
			must(t, err)
			must(t, f.AwaitReady())
			if a := newCall(g, http.MethodGet, lookups).get(t); a.status != http.StatusOK {
				t.Fatalf("status %d", a.status)
			}
			must(t, f.StoreFaults(`{}`))
			must(t, f.Configure(func(c map[string]any) { c["tenants"] = []any{} }))
			eventually(t, "the revoked key is refused", 4*time.Second, func() bool {
				return newCall(g, http.MethodGet, lookups).get(t).status == http.StatusUnauthorized
			})
		})
	}
}

// A gateway without any configuration promises that nothing has run.
func TestGatewayWithoutConfiguration(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 0 })
	must(t, f.StoreFaults(`{"status": 503}`))
	g, err := f.StartGateway()
	must(t, err)
	a := newCall(g, http.MethodGet, lookups).get(t)
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || f.Ready(g) {
		t.Fatalf("status %d, Retry-After %q, ready %v", a.status, a.header.Get("Retry-After"), f.Ready(g))
	}
}

// A watch that never ends and hears nothing is given up within the span of contact.
func TestGatewayNoticesADeafWatch(t *testing.T) {
	const contact = 3 * time.Second
	f := launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.Settings = 1, map[string]any{"contact-ms": contact.Milliseconds()}
	})
	must(t, f.StoreFaults(`{"deaf": true}`))
	must(t, f.Configure(func(c map[string]any) { c["tenants"] = []any{} }))
	must(t, tellCompact(f))
	must(t, f.StoreFaults(`{}`))
	eventually(t, "the revoked key is refused", contact, func() bool {
		return newCall(f.Gateways[0], http.MethodGet, lookups).get(t).status == http.StatusUnauthorized
	})
}

// A request that comes with the start of a gateway waits for the configuration that is on its way.
func TestGatewayHoldsRequestsAtItsStart(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 0 })
	must(t, f.StoreFaults(`{"status": 503}`))
	g, err := f.StartGateway()
	must(t, err)
	time.AfterFunc(50*time.Millisecond, func() { _ = f.StoreFaults(`{}`) })
	if a := newCall(g, http.MethodGet, lookups).get(t); a.status != http.StatusOK {
		t.Fatalf("status %d", a.status)
	}
}

func TestGatewayFollowsTheStore(t *testing.T) {
	f := launchGateways(t, nil)
	target := func() string {
		return newCall(f.Gateways[0], http.MethodGet, lookups).get(t).header.Get("Cardamompulley-Response-Signature")
	}
	for range 5 {
		if got := target(); got != "signed-by-plain-1" {
			t.Fatalf("served by %s and not in the own failure domain", got)
		}
	}
	must(t, f.PutItem("op/evacuate/domain-0", map[string]any{}))
	eventually(t, "the domain that is out gets nothing", time.Second, func() bool { return target() == "signed-by-plain-2" })
	must(t, f.DeleteItem("op/evacuate/domain-0"))
	eventually(t, "the domain is back", time.Second, func() bool { return target() == "signed-by-plain-1" })
	must(t, tellCompact(f))
	must(t, f.List("plain-1", "records", 0, "draining"))
	eventually(t, "the leaving endpoint gets nothing", 2*time.Second, func() bool { return target() == "signed-by-plain-2" })
	must(t, f.PutItem("servers/plain-1", map[string]any{"service": 7, "state": "ready"}))
	must(t, f.PutItem("servers/odd", "not an entry"))
	time.Sleep(100 * time.Millisecond)
	if got := target(); got != "signed-by-plain-2" {
		t.Fatalf("served by %s, whose entry cannot be read", got)
	}
}

func tellCompact(f *launcher.GatewayFleet) error {
	response, err := http.Post("http://"+f.Store.Address("standin")+"/compact", "", nil)
	if err != nil {
		return err
	}

	return response.Body.Close()
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
