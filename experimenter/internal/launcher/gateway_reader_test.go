package launcher_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/platform/imitator"
)

const (
	// readerSettleTime is the time after which gateways know each other and have agreed on readers of the store.
	readerSettleTime = 5 * time.Second
	domainGateways   = 12
)

// launchDomain starts the gateways of one failure domain and waits until few of them read the store.
func launchDomain(t *testing.T) *restoreSite {
	t.Helper()
	s := &restoreSite{t: t, GatewayFleet: launchGateways(t, func(spec *launcher.GatewaySpec) {
		spec.Gateways, spec.Engines, spec.PlainEndpoints = domainGateways, 0, 2
		spec.GatewaySettings = map[string]any{"contact-ms": 3000}
	})}
	time.Sleep(readerSettleTime)

	return s
}

// readers returns the gateways that watch the store while it changes.
func (s *restoreSite) readers() []*launcher.Process {
	before := map[*launcher.Process]int{}
	for _, g := range s.Gateways {
		before[g] = metricOf(s.t, g, "gateway_store_watches_total")
	}
	s.writeFor(time.Second)
	var readers []*launcher.Process
	for _, g := range s.Gateways {
		if metricOf(s.t, g, "gateway_store_watches_total") > before[g] {
			readers = append(readers, g)
		}
	}

	return readers
}

// writeFor writes changes for a while.
func (s *restoreSite) writeFor(period time.Duration) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		must(s.t, s.RegisterEndpoint("plain-1", imitator.ServiceRecords, 0, false))
	}
}

// Guards against calls to the store that grow with the number of gateways.
func TestFewGatewaysOfADomainCallTheStore(t *testing.T) {
	const period, maxReaders = 3 * time.Second, 4
	s := launchDomain(t)
	if n := len(s.readers()); n > maxReaders {
		t.Errorf("%d of %d gateways read the store, want %d at the most", n, domainGateways, maxReaders)
	}
	before := storeCallCount(t, s.GatewayFleet)
	s.writeFor(period)
	if n := storeCallCount(t, s.GatewayFleet) - before; n > maxReaders*storeCallsPerSecond*int(period/time.Second) {
		t.Errorf("%d calls of %d gateways in %s", n, domainGateways, period)
	}
}

// Guards against changes that do not reach gateways in time because those that read the store for them fail.
func TestChangesReachGatewaysWhoseReadersFail(t *testing.T) {
	cases := []struct {
		name string
		fail func(*testing.T, []*launcher.Process)
	}{
		{"stand still", func(t *testing.T, readers []*launcher.Process) {
			for _, g := range readers {
				must(t, g.Signal(syscall.SIGSTOP))
			}
		}},
		{"are killed", func(_ *testing.T, readers []*launcher.Process) {
			for _, g := range readers {
				g.Kill()
			}
		}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			s := launchDomain(t)
			readers := s.readers()
			if len(readers) == domainGateways {
				t.Fatal("all gateways read the store")
			}
			x.fail(t, readers)
			must(t, s.PublishConfiguration("added"))
			var followers []*launcher.Process
			for _, g := range s.Gateways {
				if !contains(readers, g) {
					followers = append(followers, g)
				}
			}
			s.Gateways = followers
			s.waitForAll(fmt.Sprintf("the change is in force at %d followers", len(followers)), func(g *launcher.Process) bool {
				return statusWith(t, g, "added") == http.StatusOK
			})
		})
	}
}

func contains(all []*launcher.Process, p *launcher.Process) bool {
	for _, other := range all {
		if other == p {
			return true
		}
	}

	return false
}
