package balancer

import (
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
)

// Guards against messages that are filled with the holders of parts that all sessions share.
func TestOnlyTheFirstHoldersOfAPartAreTold(t *testing.T) {
	const sessions = 200
	v := newView(2, 10)
	b := newTestBalancer()
	for n := range uint64(sessions) {
		parts := []model.PromptPart{{ID: 1, Tokens: 100}, {ID: 1000 + n, Tokens: 5000}}
		if _, refusal := b.Choose(v, Request{Service: testService, Session: 1000 + n, SharedParts: parts}, 0); refusal != nil {
			t.Fatal(refusal)
		}
	}
	placements, _ := b.PlacementLog.Since(0, maxTrackedParts)
	if got := len(placements); got != sessions+enoughHolders {
		t.Fatalf("%d placements told, want those of %d sessions and %d of the shared part", got, sessions, enoughHolders)
	}
	for _, p := range placements {
		if p.Tokens != 100 && p.Tokens != 5000 {
			t.Fatalf("placement without the length of its part: %+v", p)
		}
	}
}

// Guards against sources of prompts that were never read: endpoints that fail requests at once seem to hold the prompts of all of them.
func TestFailedAttemptsLeaveNoHolders(t *testing.T) {
	v := newView(1, 4)
	b := newTestBalancer()
	r := sessionRequest()
	holder, _ := b.Choose(v, r, 0)
	b.RecordAttemptEnd(v, r, holder, true, 10)
	overload(b, holder.Endpoint.ID)
	failing, _ := b.Choose(v, r, 20)
	b.RecordAttemptEnd(v, r, failing, false, 30)
	r.Tried = []model.EndpointID{failing.Endpoint.ID}
	next, _ := b.Choose(v, r, 30)
	if next.Endpoint == failing.Endpoint || next.CacheSource != holder.Endpoint {
		t.Fatalf("after a failure at %s: %s with cache source %v, want the holder %s", failing.Endpoint.ID, next.Endpoint.ID, next.CacheSource, holder.Endpoint.ID)
	}
	b.RecordAttemptEnd(v, r, next, false, 40)
	for _, p := range first(b.PlacementLog.Since(0, maxTrackedParts)) {
		if p.Endpoint != holder.Endpoint.ID {
			t.Errorf("other gateways are told that %s holds a part", p.Endpoint)
		}
	}
}

// Guards against forgetting a holder because one of its requests failed.
func TestFailedAttemptsKeepEarlierHolders(t *testing.T) {
	v := newView(1, 4)
	b := newTestBalancer()
	r := sessionRequest()
	holder, _ := b.Choose(v, r, 0)
	b.RecordAttemptEnd(v, r, holder, true, 10)
	again, _ := b.Choose(v, r, 20)
	b.RecordAttemptEnd(v, r, again, false, 30)
	if next, _ := b.Choose(v, r, 40); next.Endpoint != holder.Endpoint || next.NeedsPrefill {
		t.Fatalf("chose %s, needs prefill %t; want the holder %s", next.Endpoint.ID, next.NeedsPrefill, holder.Endpoint.ID)
	}
}

// Guards against prompts that are to be fetched from a process that has ended, or from one that has started under its ID.
func TestProcessesHoldNothingOfTheOnesBefore(t *testing.T) {
	endings := map[string]func(*Balancer, *cataloguer.Endpoint){
		"known to have ended": func(b *Balancer, e *cataloguer.Endpoint) { b.RecordEnd(e.Process(), 50) },
		"another one listed":  func(_ *Balancer, e *cataloguer.Endpoint) { e.StartedAt, e.RunningSince = 50, 50 },
	}
	for name, end := range endings {
		v := newView(1, 4)
		b := newTestBalancer()
		r := sessionRequest()
		holder, _ := b.Choose(v, r, 0)
		b.RecordAttemptEnd(v, r, holder, true, 10)
		end(b, holder.Endpoint)
		next, refusal := b.Choose(v, r, 60)
		if refusal != nil || !next.NeedsPrefill || next.CacheSource != nil {
			t.Errorf("%s: needs prefill %t, cache source %v: %v", name, next.NeedsPrefill, next.CacheSource, refusal)
		}
		b.RecordAttemptEnd(v, r, next, true, 70)
		if again, _ := b.Choose(v, r, 80); again.NeedsPrefill {
			t.Errorf("%s: what was read since is not known", name)
		}
	}
}

// Guards against a request that outlasts the listing of its process: the one listed now under the ID has not read its prompt.
func TestLateAnswersOfAnEarlierProcessMakeNoHolder(t *testing.T) {
	v := newView(1, 1)
	b := newTestBalancer()
	r := sessionRequest()
	late, _ := b.Choose(v, r, 0)
	listed := late.Endpoint
	earlier := *listed
	late.Endpoint = &earlier
	listed.StartedAt, listed.RunningSince = 50, 50
	other := Request{Service: testService, Session: 99, SharedParts: []model.PromptPart{{ID: 99, Tokens: 100}}}
	if _, refusal := b.Choose(v, other, 60); refusal != nil {
		t.Fatal(refusal)
	}
	b.RecordAttemptEnd(v, r, late, true, 70)
	if next, _ := b.Choose(v, r, 80); !next.NeedsPrefill {
		t.Error("the new process is taken for a holder of what the earlier one has read")
	}
}

func first[T any](value T, _ uint64) T { return value }
