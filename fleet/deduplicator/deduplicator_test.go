package deduplicator

import (
	"testing"

	"github.com/google/uuid"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	testSkew  = 5 * timekeeper.Second
	testStart = 1000 * timekeeper.Hour
)

var testPolicy = Policy{ClockSkew: testSkew, ResendWindow: timekeeper.Minute, Retention: timekeeper.Hour}

func keyAt(t *testing.T, at timekeeper.Millis) Key {
	t.Helper()
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(at >> (8 * (5 - i)))
	}
	u[6], u[8] = 0x70, 0x80

	return Key{Account: "a", Service: "s", Key: model.IdempotencyKey(u.String())}
}

func homesOf(generations ...[]model.EndpointID) []model.HomeGeneration {
	var homes []model.HomeGeneration
	for n, endpoints := range generations {
		homes = append(homes, model.HomeGeneration{Number: uint64(n + 1), Endpoints: endpoints})
	}

	return homes
}

func TestBeginRunsOnlyProvablyNewKeys(t *testing.T) {
	own := homesOf([]model.EndpointID{"self"})
	moved := homesOf([]model.EndpointID{"old"}, []model.EndpointID{"self"})
	stopped := homesOf([]model.EndpointID{"old"}, []model.EndpointID{"self"})
	stopped[0].StoppedEndpoints = []model.EndpointID{"old"}
	cases := []struct {
		name   string
		homes  []model.HomeGeneration
		before func(d *Deduplicator, c *timekeeper.ManualClock)
		after  timekeeper.Millis
		action Action
		code   model.Code
	}{
		{"key created after the start", own, nil, timekeeper.Minute, ActionRun, ""},
		{"key created before the start", own, nil, -timekeeper.Minute, ActionRefuse, model.CodeKeyStateUnknown},
		{"key created within the clock skew after the start", own, nil, testSkew - 1, ActionRefuse, model.CodeKeyStateUnknown},
		{"key created in the future", own, nil, timekeeper.Hour, ActionRefuse, model.CodeKeyStateUnknown},
		{"another endpoint is the home", homesOf([]model.EndpointID{"other"}), nil, timekeeper.Minute, ActionRefuse, model.CodeNotHome},
		{"no homes declared", nil, nil, timekeeper.Minute, ActionRefuse, model.CodeNotHome},
		{"home moved here", moved, nil, timekeeper.Minute, ActionRequestRelease, ""},
		{"old home declared stopped before the key", stopped, func(d *Deduplicator, _ *timekeeper.ManualClock) {
			d.RecordStoppedHomes(stopped)
		}, timekeeper.Minute, ActionRun, ""},
		{"old home declared stopped after the key", stopped, func(d *Deduplicator, c *timekeeper.ManualClock) {
			c.Advance(timekeeper.Minute)
			d.RecordStoppedHomes(stopped)
		}, timekeeper.Minute, ActionRefuse, model.CodeKeyStateUnknown},
		{"stop observed while the wall clock was set back", stopped, func(d *Deduplicator, c *timekeeper.ManualClock) {
			c.Advance(timekeeper.Minute)
			c.StepWall(-50 * timekeeper.Second)
			d.RecordStoppedHomes(stopped)
			c.StepWall(50 * timekeeper.Second)
		}, 40 * timekeeper.Second, ActionRefuse, model.CodeKeyStateUnknown},
		{"wall clock jumped forward past the key", own, func(_ *Deduplicator, c *timekeeper.ManualClock) {
			c.StepWall(timekeeper.Hour)
		}, timekeeper.Minute, ActionRefuse, model.CodeKeyStateUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := timekeeper.NewManualClock(testStart)
			d := NewDeduplicator("self", clock.Clock())
			if c.before != nil {
				c.before(d, clock)
			}
			clock.Advance(2 * timekeeper.Minute)
			got := d.Begin(keyAt(t, testStart+c.after), 1, c.homes, testPolicy)
			if got.Action != c.action {
				t.Fatalf("action = %s, want %s (%+v)", got.Action, c.action, got.Refusal)
			}
			if c.code != "" && got.Refusal.Code != c.code {
				t.Fatalf("code = %s, want %s", got.Refusal.Code, c.code)
			}
			if got.Refusal != nil && got.Refusal.Outcome != model.OutcomeUnknown {
				t.Fatalf("outcome = %s, want unknown", got.Refusal.Outcome)
			}
		})
	}
}

func TestDuplicateRequests(t *testing.T) {
	clock := timekeeper.NewManualClock(testStart)
	d := NewDeduplicator("self", clock.Clock())
	clock.Advance(timekeeper.Minute)
	homes := homesOf([]model.EndpointID{"self"})
	k := keyAt(t, testStart+timekeeper.Minute)
	want := func(body model.Digest, action Action) Decision {
		t.Helper()
		got := d.Begin(k, body, homes, testPolicy)
		if got.Action != action {
			t.Fatalf("action = %s, want %s", got.Action, action)
		}

		return got
	}
	want(1, ActionRun)
	want(1, ActionWait)
	want(2, ActionRefuse)
	d.FinishRan(k, StoredResponse{Status: 201, Body: []byte("booked")})
	if got := want(1, ActionReplay); string(got.Response.Body) != "booked" {
		t.Fatalf("response = %q, want the stored one", got.Response.Body)
	}
	if got := want(2, ActionRefuse); got.Refusal.Outcome != model.OutcomeRan {
		t.Fatalf("outcome = %s, want ran", got.Refusal.Outcome)
	}
	clock.Advance(2 * timekeeper.Hour)
	if d.Evict(10) != 1 {
		t.Fatal("expired record was not evicted")
	}
	if got := want(1, ActionRefuse); got.Refusal.Code != model.CodeKeyStateUnknown {
		t.Fatalf("code = %s, want the code of a key in an unknown state", got.Refusal.Code)
	}
}

func TestBeginRefusesKeysWhenTableIsFull(t *testing.T) {
	clock := timekeeper.NewManualClock(testStart)
	d := NewDeduplicator("self", clock.Clock())
	d.maxRecords = 1
	clock.Advance(timekeeper.Minute)
	homes := homesOf([]model.EndpointID{"self"})
	d.Begin(keyAt(t, testStart+timekeeper.Minute), 1, homes, testPolicy)
	got := d.Begin(keyAt(t, testStart+timekeeper.Minute+1), 1, homes, testPolicy)
	if got.Action != ActionRefuse || got.Refusal.Code != model.CodeKeyTableFull || d.RecordCount() != 1 {
		t.Fatalf("got %+v with %d records, want a refusal and 1 record", got, d.RecordCount())
	}
}
