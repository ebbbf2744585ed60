package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
	"cardamompulley/router/internal/forwarder"
)

// Only a store that holds all changes that it ever had, and has never come back from a copy, shows which versions have served before
// a gateway has started.
func TestOnlyWholeHistoryCounts(t *testing.T) {
	cases := []struct {
		name string
		// oldest is the revision after which the store holds its changes.
		oldest     uint64
		era        replicator.Era
		isComplete bool
	}{
		{"whole", 0, 0, true},
		{"whole from the second change on", 1, 1, true},
		{"some changes are gone", 2, 0, false},
		{"a store that has come back from a copy", 0, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := imitator.Endpoint{Service: "s", Address: "10.0.0.1:80", Domain: "d", Software: "v1"}.Entry()
			value, err := json.Marshal(entry)
			if err != nil {
				t.Fatal(err)
			}
			store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Store-Era", strconv.FormatUint(uint64(c.era), 10))
				if after, _ := strconv.ParseUint(r.URL.Query().Get("start-after"), 10, 64); after < c.oldest {
					w.WriteHeader(http.StatusGone)

					return
				}
				changes := []map[string]any{
					{"key": imitator.KeyEndpoint("e"), "value": value, "revision": 2},
					{"key": imitator.KeyEndpoint("e"), "revision": 3, "tombstone": true},
				}
				_ = json.NewEncoder(w).Encode(map[string]any{"events": changes, "current-rev": 9})
			}))
			defer store.Close()
			s := NewSettings()
			s.PeerListen, s.StoreAddress = "127.0.0.1:1", strings.TrimPrefix(store.URL, "http://")
			g := NewGateway(s, timekeeper.NewSystemClock(), logger.NewDiscard())
			g.readHistory(t.Context(), replicator.Position{Era: c.era, Revision: 9})
			got := g.forwarder.ReportOrigin(forwarder.OriginQuestion{Service: "s", Window: timekeeper.Minute})
			if got.IsComplete != c.isComplete || c.isComplete != (len(got.Seen) == 1 && got.Seen[0] == model.SoftwareVersion("v1")) {
				t.Errorf("report %+v, want complete: %v", got, c.isComplete)
			}
		})
	}
}

// Guards against a version that has left before the gateway has a configuration, and that other gateways may have used.
func TestVersionsCountBeforeConfigurationIsKnown(t *testing.T) {
	s := NewSettings()
	s.PeerListen, s.StoreAddress = "127.0.0.1:1", "127.0.0.1:1"
	g := NewGateway(s, timekeeper.NewSystemClock(), logger.NewDiscard())
	first := entryItem(t, replicator.Position{Revision: 5}, false, 1, 0)
	gone := replicator.Item{Key: first.Key, Position: replicator.Position{Revision: 6}, IsDeleted: true}
	g.updateReplica("list", g.endpointReplica, func(now timekeeper.Millis) bool {
		return g.endpointReplica.Replace([]replicator.Item{first}, replicator.Position{Revision: 5}, now, now)
	})
	g.updateReplica("changes", g.endpointReplica, func(now timekeeper.Millis) bool {
		return g.endpointReplica.Apply([]replicator.Item{gone}, replicator.Position{Revision: 6}, now, now)
	})
	seen := g.forwarder.ReportOrigin(forwarder.OriginQuestion{Service: "s", Window: timekeeper.Minute}).Seen
	if len(seen) != 1 || seen[0] != imitator.DefaultSoftware {
		t.Errorf("versions %v, want the one that was listed", seen)
	}
}

// Guards against a gateway that believes to have followed the list of endpoints while its VM was suspended, because its clock has stood
// still with it.
func TestSuspendedGatewayHasNotFollowedEndpoints(t *testing.T) {
	cases := []struct {
		name       string
		pause      func(*timekeeper.ManualClock)
		isComplete bool
	}{
		{"nothing", func(*timekeeper.ManualClock) {}, true},
		{"a short suspension", func(c *timekeeper.ManualClock) { c.Suspend(100) }, true},
		{"a long suspension", func(c *timekeeper.ManualClock) { c.Suspend(10 * timekeeper.Second) }, false},
		{"a long silence", func(c *timekeeper.ManualClock) { c.Advance(10 * timekeeper.Second) }, false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			clock := timekeeper.NewManualClock(timekeeper.Hour)
			s := NewSettings()
			s.PeerListen, s.DrainTime = "127.0.0.1:1", 2*timekeeper.Second
			g := NewGateway(s, clock.Clock(), logger.NewDiscard())
			readList := func(revision uint64) {
				now := g.clock.Now()
				g.recordWholeList(g.endpointReplica, 1, now)
				g.endpointReplica.Replace(nil, replicator.Position{Era: 1, Revision: revision}, now, now)
			}
			readList(1)
			clock.Advance(timekeeper.Second)
			readList(2)
			x.pause(clock)
			silence := g.storeSilence()
			readList(9)
			got := g.forwarder.ReportOrigin(forwarder.OriginQuestion{Service: "s", Window: timekeeper.Second / 2})
			if got.IsComplete != x.isComplete {
				t.Errorf("the history is complete: %v, want %v", got.IsComplete, x.isComplete)
			}
			if isSilent := silence >= s.DrainTime; isSilent == x.isComplete {
				t.Errorf("the store was silent for %d ms", silence)
			}
		})
	}
}
