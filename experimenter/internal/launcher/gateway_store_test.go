package launcher_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/platform/imitator"
)

// A gateway that starts while the store is unavailable must become ready with the state of another gateway, and follow the
// store once it is available again.
func TestGatewayStartsFromPeerWhileStoreIsDown(t *testing.T) {
	for _, fault := range []string{`{"status": 503}`, `{"status": 429}`, `{"silent": true}`, `{"reset": true}`} {
		t.Run(fault, func(t *testing.T) {
			f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
			must(t, f.SetStoreFaults(fault))
			g, err := f.StartGateway()
			must(t, err)
			must(t, f.WaitUntilReady())
			if r := newGatewayCall(g, http.MethodGet, lookupsPath).mustSend(t); r.status != http.StatusOK {
				t.Fatalf("status %d", r.status)
			}
			must(t, f.SetStoreFaults(`{}`))
			must(t, f.PublishConfiguration())
			waitFor(t, "the revoked key is refused", 4*time.Second, func() bool {
				return newGatewayCall(g, http.MethodGet, lookupsPath).mustSend(t).status == http.StatusUnauthorized
			})
		})
	}
}

// A gateway without configuration must refuse requests as not executed, with Retry-After.
func TestGatewayWithoutConfigurationIsNotReady(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 0 })
	must(t, f.SetStoreFaults(`{"status": 503}`))
	g, err := f.StartGateway()
	must(t, err)
	r := newGatewayCall(g, http.MethodGet, lookupsPath).mustSend(t)
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || f.IsReady(g) {
		t.Fatalf("status %d, Retry-After %q, ready %v", r.status, r.header.Get("Retry-After"), f.IsReady(g))
	}
}

// A watch that stays open but delivers nothing must be given up, so that changes apply within contact-ms.
func TestGatewayRecoversFromHungWatch(t *testing.T) {
	const recoveryTime = 3 * time.Second
	f := launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.GatewaySettings = 1, map[string]any{"contact-ms": recoveryTime.Milliseconds()}
	})
	must(t, f.SetStoreFaults(`{"deaf": true}`))
	must(t, f.PublishConfiguration())
	must(t, compactStore(f))
	must(t, f.SetStoreFaults(`{}`))
	waitFor(t, "the revoked key is refused", recoveryTime, func() bool {
		return newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath).mustSend(t).status == http.StatusUnauthorized
	})
}

// A request that arrives while a gateway starts must wait for the first configuration instead of being refused at once.
func TestGatewayQueuesRequestsUntilConfigured(t *testing.T) {
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 0 })
	must(t, f.SetStoreFaults(`{"status": 503}`))
	g, err := f.StartGateway()
	must(t, err)
	time.AfterFunc(50*time.Millisecond, func() { _ = f.SetStoreFaults(`{}`) })
	if r := newGatewayCall(g, http.MethodGet, lookupsPath).mustSend(t); r.status != http.StatusOK {
		t.Fatalf("status %d", r.status)
	}
}

// Calls to the store are billed: a gateway must watch both key ranges with one call and batch changes in quick succession.
func TestGatewayLimitsStoreCalls(t *testing.T) {
	const idlePeriod, burstPeriod, maxIdleCalls, maxBurstCalls = 4 * time.Second, 2 * time.Second, 4, 10
	f := launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.GatewaySettings = 1, map[string]any{"contact-ms": 3000}
	})
	before := storeCallCount(t, f)
	time.Sleep(idlePeriod)
	if n := storeCallCount(t, f) - before; n > maxIdleCalls {
		t.Fatalf("%d calls in %s without changes", n, idlePeriod)
	}
	before = storeCallCount(t, f)
	for deadline := time.Now().Add(burstPeriod); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		must(t, f.RegisterEndpoint("plain-1", imitator.ServiceRecords, 0, false))
	}
	if n := storeCallCount(t, f) - before; n > maxBurstCalls {
		t.Fatalf("%d calls in %s of changes", n, burstPeriod)
	}
}

// A store that has lost its history again after each full read must not be called without a pause.
func TestGatewayPausesBetweenFullReads(t *testing.T) {
	const settlePeriod, period = time.Second, 3 * time.Second
	f := launchGateways(t, func(s *launcher.GatewaySpec) { s.Gateways = 1 })
	must(t, f.SetStoreFaults(`{"forgetful": true}`))
	time.Sleep(settlePeriod)
	before := storeCallCount(t, f)
	time.Sleep(period)
	if n := storeCallCount(t, f) - before; n > storeCallsPerSecond*int(period/time.Second) {
		t.Fatalf("%d calls in %s", n, period)
	}
	must(t, f.SetStoreFaults(`{}`))
	must(t, f.PublishConfiguration())
	waitFor(t, "the revoked key is refused", changeBound, func() bool {
		return newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath).mustSend(t).status == http.StatusUnauthorized
	})
}

func storeCallCount(t *testing.T, f *launcher.GatewayFleet) int {
	t.Helper()
	body, err := launcher.Fetch("http://" + f.Store.Address("standin") + "/calls")
	must(t, err)
	n, err := strconv.Atoi(body)
	must(t, err)

	return n
}

func TestGatewayAppliesStoreChanges(t *testing.T) {
	f := launchGateways(t, nil)
	signature := func() string {
		return newGatewayCall(f.Gateways[0], http.MethodGet, lookupsPath).mustSend(t).header.Get("Cardamompulley-Response-Signature")
	}
	for range 5 {
		if got := signature(); got != "signed-by-plain-1" {
			t.Fatalf("%s, want the endpoint in the same failure domain", got)
		}
	}
	must(t, f.EvacuateDomain(0))
	waitFor(t, "no requests go to the evacuated domain", time.Second, func() bool { return signature() == "signed-by-plain-2" })
	must(t, f.RestoreDomain(0))
	waitFor(t, "requests go to the restored domain", time.Second, func() bool { return signature() == "signed-by-plain-1" })
	must(t, compactStore(f))
	must(t, f.RegisterEndpoint("plain-1", imitator.ServiceRecords, 0, true))
	waitFor(t, "no requests go to the draining endpoint", 2*time.Second, func() bool { return signature() == "signed-by-plain-2" })
	must(t, f.PutItem(imitator.KeyEndpoint("plain-1"), map[string]any{"service": 7, "state": "ready"}))
	must(t, f.PutItem(imitator.KeyEndpoint("odd"), "not an entry"))
	time.Sleep(100 * time.Millisecond)
	if got := signature(); got != "signed-by-plain-2" {
		t.Fatalf("%s after its entry became unreadable", got)
	}
}

func compactStore(f *launcher.GatewayFleet) error {
	response, err := http.Post("http://"+f.Store.Address("standin")+"/compact", "", nil)
	if err != nil {
		return err
	}

	return response.Body.Close()
}

// A gateway that has read that an endpoint is gone must not use it for longer than drain-ms, whatever it defers.
func TestGatewayDefersDeletionsForLessThanDrainTime(t *testing.T) {
	const heartbeat, drainTime = 300 * time.Millisecond, 2 * time.Second
	logs := &lockedBuffer{}
	f := launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.Engines, s.Logs = 3, 0, logs
		s.GatewaySettings = map[string]any{"heartbeat-ms": heartbeat.Milliseconds()}
	})
	must(t, f.SetStoreFaults(`{"status": 503}`))
	// A change ends the watches that wait.
	must(t, f.PutItem("other/item", map[string]any{}))
	time.Sleep(3 * heartbeat)
	must(t, f.DeregisterEndpoint("plain-1"))
	must(t, f.SetStoreFaults(`{}`))
	lastUse := make([]time.Time, len(f.Gateways))
	for end := time.Now().Add(drainTime + 2*time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for n, g := range f.Gateways {
			sentAt := time.Now()
			if newGatewayCall(g, http.MethodGet, lookupsPath).mustSend(t).header.Get("Cardamompulley-Response-Signature") == "signed-by-plain-1" {
				lastUse[n] = sentAt
			}
		}
	}
	deferrals := 0
	for n, g := range f.Gateways {
		learnedAt, err := logs.timeOf(g.Name, "store-regained")
		must(t, err)
		used := lastUse[n].Sub(learnedAt)
		if used > drainTime {
			t.Errorf("%s used the endpoint for %v after it knew it to be gone", g.Name, used)
		}
		if used > drainTime/2 {
			deferrals++
		}
	}
	if deferrals == 0 {
		t.Error("no gateway has deferred the deletion")
	}
}
