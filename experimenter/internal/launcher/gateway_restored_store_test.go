package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
	"cardamompulley/platform/imitator"
)

const (
	// changeBound is the time within which a confirmed change is in force.
	changeBound = 2 * time.Second
	// storeCallsPerSecond is what a store that serves 2,000 calls a second leaves for each of 410 gateways.
	storeCallsPerSecond = 5
	// restoreDuration is how long the store is away before it is restored.
	restoreDuration = 700 * time.Millisecond
	addedKey        = "added-key"
	withdrawnKey    = launcher.GatewayAPIKey
	lastingKey      = "lasting-key"
)

// restoreSite is a fleet of gateways with plain endpoints in two failure domains. The first domain is taken out of service before the store is restored.
type restoreSite struct {
	*launcher.GatewayFleet

	t *testing.T
}

func launchRestoreSite(t *testing.T, gateways int) *restoreSite {
	t.Helper()
	s := &restoreSite{t: t, GatewayFleet: launchGateways(t, func(s *launcher.GatewaySpec) {
		s.Gateways, s.Engines, s.PlainEndpoints = gateways, 0, 0
	})}
	for n, domain := range []int{0, 0, 1, 1, 1, 1, 1, 1} {
		must(t, s.StartEndpoint(siteEndpoint(n), imitator.ServiceRecords, domain))
	}
	must(t, s.PublishConfiguration(withdrawnKey, lastingKey))
	s.waitForAll("the API keys are accepted", func(g *launcher.Process) bool {
		return statusWith(t, g, lastingKey) == http.StatusOK
	})
	s.waitForAll("every endpoint of the gateways' domain is used", func(g *launcher.Process) bool {
		served := s.servedBy(g, lastingKey)

		return served[siteEndpoint(0)] && served[siteEndpoint(1)]
	})

	return s
}

func siteEndpoint(n int) model.EndpointID {
	return model.EndpointID(fmt.Sprintf("plain-%d", n+1))
}

// restore lets the store go away for a moment and come back from its copy.
func (s *restoreSite) restore() {
	must(s.t, s.SetStoreFaults(`{"reset": true}`))
	time.Sleep(restoreDuration)
	must(s.t, s.RestoreStore())
	must(s.t, s.SetStoreFaults(`{}`))
}

// writeUnrelated writes an item that no gateway uses several times.
func (s *restoreSite) writeUnrelated(times int) {
	for range times {
		must(s.t, s.PutItem("other/item", map[string]any{}))
	}
}

// statusWith returns the status of a request with an API key.
func statusWith(t *testing.T, g *launcher.Process, key string) int {
	t.Helper()
	c := newGatewayCall(g, http.MethodGet, lookupsPath)
	c.headers["Cardamompulley-Key"] = key

	return c.mustSend(t).status
}

// servedBy sends requests at once and returns the endpoints that served any.
func (s *restoreSite) servedBy(g *launcher.Process, key string) map[model.EndpointID]bool {
	const requests = 24
	var mu sync.Mutex
	var w sync.WaitGroup
	served := map[model.EndpointID]bool{}
	failures := 0
	for range requests {
		c := newGatewayCall(g, http.MethodGet, lookupsPath)
		c.headers["Cardamompulley-Key"] = key
		w.Go(func() {
			r := c.send(s.t.Context())
			mu.Lock()
			defer mu.Unlock()
			if r.err != nil || r.status != http.StatusOK {
				failures++

				return
			}
			id, _ := strings.CutPrefix(r.header.Get("Cardamompulley-Response-Signature"), "signed-by-")
			served[model.EndpointID(id)] = true
		})
	}
	w.Wait()
	if failures > 0 {
		s.t.Errorf("%s did not serve %d of %d requests", g.Name, failures, requests)
	}

	return served
}

// waitForAll waits until a condition is met at each gateway, for changeBound at the most.
func (s *restoreSite) waitForAll(condition string, isMet func(*launcher.Process) bool) {
	s.t.Helper()
	waitFor(s.t, condition, changeBound, func() bool {
		for _, g := range s.Gateways {
			if !isMet(g) {
				return false
			}
		}

		return true
	})
}

// waitForWithdrawnKey waits until each gateway refuses the withdrawn key.
func (s *restoreSite) waitForWithdrawnKey() {
	s.t.Helper()
	s.waitForAll("the key is withdrawn", func(g *launcher.Process) bool {
		return statusWith(s.t, g, withdrawnKey) == http.StatusUnauthorized
	})
}

// A second restore of the store within the time for writing again must not take back what the first one has left in force.
func TestGatewaysKeepChangesOverRestoresInSeries(t *testing.T) {
	t.Parallel()
	s := launchRestoreSite(t, 3)
	must(t, s.CopyStore())
	s.writeChanges()
	s.waitForWithdrawnKey()
	for range 3 {
		s.restore()
		s.checkStateInForce()
	}
	s.writeChanges()
	s.checkStateInForce()
	s.checkLaterChanges()
}

// A gateway that starts between a restore of the store and the writing again must learn from the others what was in force before.
func TestGatewayThatStartsAfterRestoreLearnsWhatWasInForce(t *testing.T) {
	t.Parallel()
	s := launchRestoreSite(t, 2)
	must(t, s.CopyStore())
	s.writeChanges()
	s.waitForWithdrawnKey()
	s.restore()
	_, err := s.StartGateway()
	must(t, err)
	must(t, s.WaitUntilReady())
	s.waitForWithdrawnKey()
	s.checkStateInForce()
	s.writeChanges()
	s.checkStateInForce()
	s.checkLaterChanges()
}

// Guards against gateways that ignore what changes after a restore of the store, lose what they knew before it, or flood the store.
func TestGatewaysFollowStoreThatCameBackFromCopy(t *testing.T) {
	cases := []struct {
		gateways   int
		lostWrites int
		// startsLate adds a gateway once the lost writes have been repeated.
		startsLate bool
	}{
		{1, 60, false}, {3, 3, false}, {3, 200, false}, {3, 200, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d gateways, %d lost writes, one more: %v", c.gateways, c.lostWrites, c.startsLate), func(t *testing.T) {
			t.Parallel()
			s := launchRestoreSite(t, c.gateways)
			must(t, s.CopyStore())
			s.writeChanges()
			s.writeUnrelated(c.lostWrites)
			s.waitForWithdrawnKey()
			s.restore()
			before := storeCallCount(t, s.GatewayFleet)
			const checks = 10
			for n := range checks {
				if n == checks/2 {
					s.writeChanges()
				}
				s.checkStateInForce()
				time.Sleep(time.Second / checks)
			}
			if calls := storeCallCount(t, s.GatewayFleet) - before; calls > c.gateways*storeCallsPerSecond*2 {
				t.Errorf("%d calls to the store in about a second after it came back", calls)
			}
			if c.startsLate {
				_, err := s.StartGateway()
				must(t, err)
				must(t, s.WaitUntilReady())
			}
			s.checkLaterChanges()
		})
	}
}

// writeChanges withdraws a key and a failure domain; one endpoint begins to drain and another one leaves.
func (s *restoreSite) writeChanges() {
	must(s.t, s.WriteConfiguration(3, lastingKey))
	must(s.t, s.EvacuateDomain(0))
	must(s.t, s.RegisterEndpoint(siteEndpoint(4), imitator.ServiceRecords, 1, true))
	must(s.t, s.DeregisterEndpoint(siteEndpoint(5)))
}

// checkStateInForce checks that the withdrawn key is refused and the lasting one accepted, and that neither the evacuated domain
// nor the endpoints that have left are used.
func (s *restoreSite) checkStateInForce() {
	s.t.Helper()
	for _, g := range s.Gateways {
		if got := statusWith(s.t, g, withdrawnKey); got != http.StatusUnauthorized {
			s.t.Errorf("%s answers %d to the withdrawn key", g.Name, got)
		}
		served := s.servedBy(g, lastingKey)
		for _, n := range []int{0, 1, 4, 5} {
			if served[siteEndpoint(n)] {
				s.t.Errorf("%s uses %s, which is out of use", g.Name, siteEndpoint(n))
			}
		}
	}
}

// checkLaterChanges checks that a new key, a draining endpoint, a deleted one and the end of an evacuation are in force
// in time.
func (s *restoreSite) checkLaterChanges() {
	s.t.Helper()
	must(s.t, s.WriteConfiguration(4, lastingKey, addedKey))
	must(s.t, s.RegisterEndpoint(siteEndpoint(2), imitator.ServiceRecords, 1, true))
	must(s.t, s.DeregisterEndpoint(siteEndpoint(3)))
	s.waitForAll("the added key is accepted", func(g *launcher.Process) bool {
		return statusWith(s.t, g, addedKey) == http.StatusOK
	})
	s.waitForAll("the endpoints that leave are not used", func(g *launcher.Process) bool {
		served := s.servedBy(g, addedKey)

		return !served[siteEndpoint(2)] && !served[siteEndpoint(3)]
	})
	must(s.t, s.RestoreDomain(0))
	s.waitForAll("the domain is back in use", func(g *launcher.Process) bool {
		return s.servedBy(g, addedKey)[siteEndpoint(0)]
	})
}
