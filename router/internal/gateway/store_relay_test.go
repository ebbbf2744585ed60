package gateway

import (
	"strings"
	"testing"
	"time"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

// newReader returns a gateway that knows both ranges as of revision 5, the store having answered it now, with its clock.
func newReader(t *testing.T) (*Gateway, *timekeeper.ManualClock) {
	t.Helper()
	clock := timekeeper.NewManualClock(timekeeper.Hour)
	s := NewSettings()
	s.PeerListen = "127.0.0.1:1"
	g := NewGateway(s, clock.Clock(), logger.NewDiscard())
	for _, r := range g.storeRanges() {
		g.updateReplica(r.prefix, r.replica, func(now timekeeper.Millis) bool {
			return r.replica.Replace(nil, replicator.Position{Era: 1, Revision: 5}, now, now)
		})
	}
	g.recordStoreKnown(clock.Clock().Now())

	return g, clock
}

// change applies a change of the endpoint list to a gateway.
func change(g *Gateway, value string, revision uint64) {
	at := replicator.Position{Era: 1, Revision: revision}
	g.applyEvents(g.storeRanges(), []replicator.Item{{Key: platform.RangeEndpoints + "a", Value: []byte(value), Position: at}}, at)
}

// followAt returns the call of a follower at a position that does not wait.
func followAt(era, revision uint64) *messenger.FollowStoreRequest {
	state := &messenger.RangeState{Era: era, AsOf: revision, Synced: true}

	return &messenger.FollowStoreRequest{Operator: state, Endpoints: state, MaxSilenceMs: int64(timekeeper.Second)}
}

func TestReaderTellsChangesOrSendsFollowersToTheStore(t *testing.T) {
	cases := []struct {
		name         string
		request      *messenger.FollowStoreRequest
		value        string
		items        int
		looksAtStore bool
	}{
		{"a change", followAt(1, 5), "{}", 1, false},
		{"up to date", followAt(1, 6), "{}", 0, false},
		{"ahead of the reader", followAt(1, 9), "{}", 0, false},
		{"history that the reader has not seen", followAt(1, 4), "{}", 0, true},
		{"another era", followAt(2, 1), "{}", 0, true},
		{"a follower that has read nothing", &messenger.FollowStoreRequest{}, "{}", 0, true},
		{"a large change", followAt(1, 5), strings.Repeat("x", maxRelayedBytes+1), 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newReader(t)
			change(g, c.value, 6)
			response, err := g.peers.FollowStore(t.Context(), c.request)
			if err != nil || len(response.GetEndpoints().GetItems()) != c.items || response.LookAtStore != c.looksAtStore {
				t.Errorf("%+v: %v", response, err)
			}
		})
	}
}

// Guards against a reader that tells the time at which it is asked in place of the time at which the store said so.
func TestReaderTellsHowLongTheStoreHasBeenSilent(t *testing.T) {
	g, clock := newReader(t)
	clock.Advance(300)
	clock.Suspend(500)
	response, err := g.peers.FollowStore(t.Context(), followAt(1, 5))
	if err != nil || response.SilenceMs != 800 {
		t.Errorf("silent for %d ms, want 800: %v", response.SilenceMs, err)
	}
}

func TestFollowerWaitsForChanges(t *testing.T) {
	g, _ := newReader(t)
	request := followAt(1, 5)
	request.WaitMs = int64(timekeeper.Second)
	time.AfterFunc(50*time.Millisecond, func() { change(g, "{}", 6) })
	begun := time.Now()
	response, err := g.peers.FollowStore(t.Context(), request)
	if err != nil || len(response.GetEndpoints().GetItems()) != 1 || time.Since(begun) > 500*time.Millisecond {
		t.Errorf("%+v after %s: %v", response, time.Since(begun), err)
	}
}
