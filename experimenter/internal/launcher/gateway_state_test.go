package launcher_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/platform/imitator"
)

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
			must(t, f.Configure())
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
	must(t, f.Configure())
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

// Calls to the store are paid for: one watch waits for both ranges, and changes in quick succession come by few calls.
func TestGatewayMakesFewCallsToTheStore(t *testing.T) {
	const idle, storm, mostIdle, mostInStorm = 4 * time.Second, 2 * time.Second, 4, 10
	f := launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.Settings = 1, map[string]any{"contact-ms": 3000}
	})
	before := storeCalls(t, f)
	time.Sleep(idle)
	if n := storeCalls(t, f) - before; n > mostIdle {
		t.Fatalf("%d calls in %s without a change", n, idle)
	}
	before = storeCalls(t, f)
	for until := time.Now().Add(storm); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		must(t, f.List("plain-1", imitator.ServiceRecords, 0, false))
	}
	if n := storeCalls(t, f) - before; n > mostInStorm {
		t.Fatalf("%d calls in %s of changes", n, storm)
	}
}

func storeCalls(t *testing.T, f *launcher.GatewayFleet) int {
	t.Helper()
	page, err := launcher.Fetch("http://" + f.Store.Address("standin") + "/calls")
	must(t, err)
	n, err := strconv.Atoi(page)
	must(t, err)

	return n
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
	must(t, f.TakeOut(0))
	eventually(t, "the domain that is out gets nothing", time.Second, func() bool { return target() == "signed-by-plain-2" })
	must(t, f.TakeBack(0))
	eventually(t, "the domain is back", time.Second, func() bool { return target() == "signed-by-plain-1" })
	must(t, tellCompact(f))
	must(t, f.List("plain-1", imitator.ServiceRecords, 0, true))
	eventually(t, "the leaving endpoint gets nothing", 2*time.Second, func() bool { return target() == "signed-by-plain-2" })
	must(t, f.PutItem(imitator.KeyEndpoint("plain-1"), map[string]any{"service": 7, "state": "ready"}))
	must(t, f.PutItem(imitator.KeyEndpoint("odd"), "not an entry"))
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
