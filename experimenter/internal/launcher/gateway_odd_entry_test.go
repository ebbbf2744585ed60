package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompulley/experimenter/internal/launcher"
	"cardamompulley/fleet/model"
	"cardamompulley/platform/imitator"
)

// oddEntries returns entries that other writers have left among those of the endpoints, by ID. Each would get requests if it were used.
func oddEntries(address string) map[model.EndpointID]string {
	entry := func(address, slots, cold, born, more string) string {
		return fmt.Sprintf(`{"service": %q, "address": %q, "zone": "domain-0", "version": "v1", "slots": %s, "state": "ready",
			"cold-remaining-ms": %s, "born": %s, "sequence": 1, "more": %s}`, imitator.ServiceRecords, address, slots, cold, born, more)
	}
	host, _, _ := strings.Cut(address, ":")

	return map[model.EndpointID]string{
		"odd-nested":     entry(address, "64", "0", "1", strings.Repeat("[", 20000)+strings.Repeat("]", 20000)),
		"odd-slots":      entry(address, "9223372036854775807", "0", "1", "0"),
		"odd-more-slots": entry(address, "99999999999999999999", "0", "1", "0"),
		"odd-cold":       entry(address, "64", "1e300", "1", "0"),
		"odd-long-cold":  entry(address, "64", "1e18", "1", "0"),
		"odd-start":      entry(address, "64", "0", "9223372036854775807", "0"),
		"odd-port":       entry(host+":70000", "64", "0", "1", "0"),
		"odd-zero-port":  entry(host+":0", "64", "0", "1", "0"),
		"odd-bytes":      "\x00\xff{",
		"odd-list":       "[]",
		"odd-large":      entry(address, "64", "0", "1", `"`+strings.Repeat("x", 900_000)+`"`),
	}
}

// oddSite is a fleet of gateways before sound endpoints and a server that only odd entries name.
type oddSite struct {
	*restoreSite

	logs *lockedBuffer
	// keys counts the API keys that were published.
	keys int
}

const oddServer = model.EndpointID("odd-server")

func launchOddSite(t *testing.T) *oddSite {
	t.Helper()
	s := &oddSite{logs: &lockedBuffer{}}
	s.restoreSite = &restoreSite{t: t, GatewayFleet: launchGateways(t, func(spec *launcher.GatewaySpec) {
		spec.Gateways, spec.Engines, spec.PlainEndpoints, spec.Logs = 2, 0, 2, s.logs
	})}
	must(t, s.StartEndpoint(oddServer, imitator.ServiceRecords, 0))
	must(t, s.DeregisterEndpoint(oddServer))

	return s
}

// checkFollowing checks that every gateway runs, serves and follows the next change.
func (s *oddSite) checkFollowing(step string) {
	s.t.Helper()
	s.keys++
	key := fmt.Sprintf("key-%d", s.keys)
	must(s.t, s.PublishConfiguration(launcher.GatewayAPIKey, key))
	s.waitForAll(step+": the new key is accepted", func(g *launcher.Process) bool { return statusWith(s.t, g, key) == http.StatusOK })
	for _, g := range s.Gateways {
		select {
		case <-g.Exited():
			s.t.Fatalf("%s: %s has ended", step, g.Name)
		default:
		}
		s.servedBy(g, key)
	}
}

// checkUnusable checks how many entries each gateway counts as unusable.
func (s *oddSite) checkUnusable(want int) {
	s.t.Helper()
	for _, g := range s.Gateways {
		text, err := launcher.Fetch("http://" + g.Address("metrics") + "/metrics")
		must(s.t, err)
		if line := fmt.Sprintf("gateway_unusable_endpoint_entries %d\n", want); !strings.Contains(text, line) {
			s.t.Errorf("%s does not show %q", g.Name, line)
		}
	}
}

// Guards against a list that is unreadable as a whole, or processes that end, because of one entry that another writer has left.
func TestOddEntriesCostOnlyThemselves(t *testing.T) {
	s := launchOddSite(t)
	odd := oddEntries(s.Endpoints[oddServer].Address("standin"))
	for id, entry := range odd {
		must(t, s.PutBytes("servers/"+string(id), []byte(entry)))
	}
	s.checkFollowing("in changes")
	s.checkUnusable(len(odd))
	must(t, s.CopyStore())
	must(t, s.CompactStore())
	s.checkFollowing("in a list")
	_, err := s.StartGateway()
	must(t, err)
	s.checkFollowing("at a start")
	s.restore()
	s.checkFollowing("in a restored store")
	must(t, s.SetStoreFaults(`{"status": 503}`))
	_, err = s.StartGateway()
	must(t, err)
	must(t, s.WaitUntilReady())
	must(t, s.SetStoreFaults(`{"odd-items": true}`))
	s.checkFollowing("in copies of other gateways, and beside items that cannot be read")
	for id, entry := range odd {
		must(t, s.PutBytes("servers/"+string(id), []byte(entry)))
	}
	s.checkFollowing("written again")
	s.checkUnusable(len(odd) + 2)
	if n, most := s.logs.count("endpoint-unreadable"), (len(odd)+2)*len(s.Gateways); n == 0 || n > most {
		t.Errorf("%d lines say that an entry is unreadable, want one for each entry and gateway, %d at the most", n, most)
	}
}

// Guards against an endpoint that stays in use, or lost, after another writer has overwritten its entry.
func TestOverwrittenEntryCountsAgainOnceItsEndpointWritesIt(t *testing.T) {
	s := launchOddSite(t)
	const overwritten = model.EndpointID("plain-1")
	must(t, s.PutBytes("servers/"+string(overwritten), []byte(oddEntries(s.Endpoints[oddServer].Address("standin"))["odd-cold"])))
	s.waitForAll("the overwritten entry is not used", func(g *launcher.Process) bool { return !s.servedBy(g, launcher.GatewayAPIKey)[overwritten] })
	s.checkFollowing("overwritten")
	must(t, s.RegisterEndpoint(overwritten, imitator.ServiceRecords, 0, false))
	s.waitForAll("the endpoint is used again", func(g *launcher.Process) bool { return s.servedBy(g, launcher.GatewayAPIKey)[overwritten] })
}

// Guards against a gateway that stops following the store because the changes since its last answer do not fit into one.
func TestGatewayFollowsStoreAfterVeryLargeChanges(t *testing.T) {
	s := launchOddSite(t)
	must(t, s.SetStoreFaults(`{"status": 503}`))
	for n := range 6 {
		must(t, s.PutBytes("other/large", []byte(strings.Repeat("x", 900_000+n))))
	}
	time.Sleep(time.Second)
	must(t, s.SetStoreFaults(`{}`))
	s.checkFollowing("after large changes")
}
