package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// newHistoryGateway returns a gateway before a store that holds the changes after a revision up to another one, and the number of
// calls that it has got.
func newHistoryGateway(t *testing.T, oldest, newest uint64) (*Gateway, *int) {
	t.Helper()
	calls := 0
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		after, _ := strconv.ParseUint(r.URL.Query().Get("start-after"), 10, 64)
		if after < oldest {
			w.WriteHeader(http.StatusGone)

			return
		}
		_, _ = fmt.Fprintf(w, `{"events": [{"key": "servers/e", "revision": %d, "tombstone": true}], "current-rev": %d}`, newest, newest)
	}))
	t.Cleanup(store.Close)
	s := NewSettings()
	s.PeerListen, s.StoreAddress, s.StoreHistory = "127.0.0.1:1", strings.TrimPrefix(store.URL, "http://"), 20*timekeeper.Second

	return NewGateway(s, timekeeper.NewSystemClock(), logger.NewDiscard()), &calls
}

func TestOldestHistoryIsFound(t *testing.T) {
	for _, c := range []struct{ oldest, newest uint64 }{{0, 1}, {1, 1}, {2, 2}, {2, 3}, {9, 10}, {17, 1000}, {999, 1000}, {1000, 1000}, {123_456, 9_999_999}} {
		g, calls := newHistoryGateway(t, c.oldest, c.newest)
		got, _, err := g.oldestHistory(t.Context(), replicator.Position{Revision: c.newest})
		if want := max(c.oldest, firstRevision); err != nil || got.Revision != want {
			t.Errorf("%d of %d: found %d: %v", c.oldest, c.newest, got.Revision, err)
		}
		if *calls > 26 {
			t.Errorf("%d of %d: %d calls", c.oldest, c.newest, *calls)
		}
	}
}

// A store that has discarded changes early, or has come back from a copy, must not be taken to show all that has served.
func TestHistoryCoversOnlyWhatIsCertain(t *testing.T) {
	const readAt = timekeeper.Hour
	g, _ := newHistoryGateway(t, 0, 1)
	wall := int(g.clock.Wall())
	old, recent := wall-int(timekeeper.Minute), wall-5000
	at := func(revision uint64, created uint64, born int) replicator.Item {
		item := entryItem(t, replicator.Position{Revision: revision}, false, born, 0)
		item.Created = created

		return item
	}
	cases := []struct {
		name   string
		items  []replicator.Item
		oldest replicator.Position
		want   timekeeper.Millis
	}{
		{"from the first change on", nil, replicator.Position{Revision: 1}, 0},
		{"old endpoints", []replicator.Item{at(30, 30, old)}, replicator.Position{Revision: 50}, readAt - 19*timekeeper.Second},
		{"a recent endpoint whose creation is held", []replicator.Item{at(60, 60, recent)}, replicator.Position{Revision: 50}, readAt - 19*timekeeper.Second},
		{"a recent endpoint whose creation is gone", []replicator.Item{at(60, 40, recent)}, replicator.Position{Revision: 50}, readAt},
		{"an endpoint that names no start", []replicator.Item{at(30, 30, 0)}, replicator.Position{Revision: 50}, readAt},
		{"a store that was never restored", nil, replicator.Position{Era: 1, Revision: 50}, readAt - 19*timekeeper.Second},
		{"a store that was restored", nil, replicator.Position{Era: 2, Revision: 50}, readAt},
	}
	for _, c := range cases {
		if got := g.historySince(c.items, c.oldest, readAt); got != c.want {
			t.Errorf("%s: since %d, want %d", c.name, got, c.want)
		}
	}
	g.settings.StoreHistory = 0
	if got := g.historySince(nil, replicator.Position{Revision: 50}, readAt); got != readAt {
		t.Errorf("without a known length of the history: since %d", got)
	}
}
