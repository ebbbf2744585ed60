package gateway

import (
	"encoding/json"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
)

// entryItem returns the store item of an endpoint. The process that wrote it started at the time born.
func entryItem(t *testing.T, p replicator.Position, isDraining bool, born, coldMS int) replicator.Item {
	t.Helper()
	entry := imitator.Endpoint{Service: "s", Address: "10.0.0.1:80", Domain: "d", IsDraining: isDraining}.Entry()
	entry["born"] = born
	entry["cold-remaining-ms"] = coldMS
	value, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}

	return replicator.Item{Key: imitator.KeyEndpoint("e"), Value: value, Position: p}
}

func TestRestoredEntryIsOutdated(t *testing.T) {
	known, restored := replicator.Position{Era: 1, Revision: 9}, replicator.Position{Era: 2, Revision: 3}
	cases := []struct {
		name            string
		known, restored replicator.Item
		isKnownDeleted  bool
		isOutdated      bool
	}{
		{"the same", entryItem(t, known, false, 1, 0), entryItem(t, restored, false, 1, 0), false, false},
		{"before it began to drain", entryItem(t, known, true, 1, 0), entryItem(t, restored, false, 1, 0), false, true},
		{"draining in both", entryItem(t, known, true, 1, 0), entryItem(t, restored, true, 1, 0), false, false},
		{"of the process before", entryItem(t, known, false, 2, 0), entryItem(t, restored, false, 1, 0), false, true},
		{"of a later process", entryItem(t, known, true, 1, 0), entryItem(t, restored, false, 2, 0), false, false},
		{"of one that has left", entryItem(t, known, false, 1, 0), entryItem(t, restored, false, 1, 0), true, true},
		{"of a later process than the one that has left", entryItem(t, known, false, 1, 0), entryItem(t, restored, false, 2, 0), true, false},
		{"unreadable", entryItem(t, known, false, 1, 0), replicator.Item{Key: imitator.KeyEndpoint("e"), Value: []byte("odd")}, false, true},
	}
	for _, c := range cases {
		c.known.IsDeleted = c.isKnownDeleted
		if got := isOutdatedEntry(c.known, c.restored); got != c.isOutdated {
			t.Errorf("%s: outdated = %v", c.name, got)
		}
	}
}

// An entry that a restored store holds as before must not make its endpoint cold again; one that was written again does.
func TestRestoredEntryDoesNotStartAnotherColdStart(t *testing.T) {
	g := &Gateway{clock: timekeeper.NewSystemClock(), log: logger.NewDiscard()}
	first := g.decodeEndpoint(entryItem(t, replicator.Position{Era: 1, Revision: 9}, false, 1, 5000), decodedEndpoint{})
	restored := g.decodeEndpoint(entryItem(t, replicator.Position{Era: 2, Revision: 9}, false, 1, 5000), first)
	if restored.endpoint != first.endpoint {
		t.Error("an unchanged entry was decoded again")
	}
	again := g.decodeEndpoint(entryItem(t, replicator.Position{Era: 2, Revision: 10}, false, 1, 5000), restored)
	if again.endpoint == first.endpoint {
		t.Error("an entry that was written again was ignored")
	}
}

// Guards against a gateway that has just started and takes no endpoint to hold any prompt, and against a restarted endpoint that is taken to
// hold those of the process before.
func TestRunningSinceFollowsTheProcess(t *testing.T) {
	const wall = 1_000_000
	g := &Gateway{clock: timekeeper.NewSystemClock(), log: logger.NewDiscard()}
	now := timekeeper.Millis(5000)
	g.clock.Now = func() timekeeper.Millis { return now }
	g.clock.Wall = func() timekeeper.Millis { return wall + now }
	decode := func(revision uint64, born int, previous decodedEndpoint) decodedEndpoint {
		p := replicator.Position{Era: 1, Revision: revision}

		return g.decodeEndpoint(entryItem(t, p, false, born, 0), previous)
	}
	first := decode(1, wall-60_000, decodedEndpoint{})
	if got := first.endpoint.RunningSince; got != -60_000 {
		t.Errorf("seen late: running since %d", got)
	}
	now = 9000
	if got := decode(2, wall-60_000, first).endpoint.RunningSince; got != -60_000 {
		t.Errorf("a change of the entry: running since %d", got)
	}
	if got := decode(3, wall+8000, first).endpoint.RunningSince; got != 8000 {
		t.Errorf("another process: running since %d", got)
	}
	if got := decode(4, wall+20_000, first).endpoint.RunningSince; got != now {
		t.Errorf("a start in the future: running since %d", got)
	}
	if got := decode(5, 0, decodedEndpoint{}).endpoint.RunningSince; got != now {
		t.Errorf("an unknown start: running since %d", got)
	}
}

// After all gateways have died, nobody knows where prompts are cached. A new gateway goes by the endpoints' word on when they began, so that
// it can guess holders from the start; a run that has begun anew, or a clock that is wrong, gives none that is older than it is.
func TestEndpointsOwnStartCounts(t *testing.T) {
	clock := timekeeper.NewManualClock(1_000_000)
	g := &Gateway{clock: clock.Clock(), log: logger.NewDiscard()}
	seen := func(revision uint64, born int, previous decodedEndpoint) (decodedEndpoint, timekeeper.Millis) {
		d := g.decodeEndpoint(entryItem(t, replicator.Position{Era: 1, Revision: revision}, false, born, 0), previous)

		return d, d.endpoint.RunningSince
	}
	first, at := seen(1, 940_000, decodedEndpoint{})
	if at != 940_000 {
		t.Errorf("an endpoint that began 60 s ago counts as known for %d ms", 1_000_000-at)
	}
	clock.StepWall(-timekeeper.Hour)
	clock.Advance(timekeeper.Second)
	second, at := seen(2, 940_000, first)
	if at != 940_000 {
		t.Errorf("the same run is known since %d after a step of the clock", at)
	}
	if _, at = seen(3, 990_000, second); at != 1_001_000 {
		t.Errorf("a new run, in the future of a clock that is behind, is known since %d, want now", at)
	}
	clock.StepWall(timekeeper.Hour)
	if _, at = seen(4, 1_000_500, second); at != 1_000_500 {
		t.Errorf("a run that began 500 ms ago is known since %d", at)
	}
	if _, at = seen(5, 0, decodedEndpoint{}); at != 1_001_000 {
		t.Errorf("an endpoint that does not say when it began is known since %d", at)
	}
}
