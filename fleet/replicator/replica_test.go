package replicator

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func put(key string, revision uint64) Item {
	return Item{Key: key, Value: []byte{1}, Position: at(revision)}
}

func deletion(key string, revision uint64) Item {
	return Item{Key: key, Position: at(revision), IsDeleted: true}
}

func at(revision uint64) Position {
	return Position{Era: 1, Revision: revision}
}

func holds(r *Replica, key string) bool {
	_, ok := r.Get(key)

	return ok
}

// A watch response that was requested before a peer's newer copy was applied must not restore deleted items.
func TestApplyIgnoresEventsOlderThanFullCopy(t *testing.T) {
	r := NewReplica(Options{})
	r.Replace([]Item{put("a", 1)}, at(1), 0, 0)
	r.Replace([]Item{put("b", 5)}, at(5), 10, 10)
	if r.Apply([]Item{put("a", 2)}, at(3), 20, 20) {
		t.Fatal("an event older than the copy changed the replica")
	}
	if holds(r, "a") || !holds(r, "b") || r.Synced() != at(5) {
		t.Fatalf("a held: %v, b held: %v, synced at %v", holds(r, "a"), holds(r, "b"), r.Synced())
	}
}

func TestReplaceIgnoresOlderCopy(t *testing.T) {
	r := NewReplica(Options{})
	r.Replace([]Item{put("a", 4)}, at(4), 0, 0)
	if r.Replace([]Item{put("a", 2), put("b", 3)}, at(3), 1, 1) {
		t.Fatal("an older copy was applied")
	}
}

func TestDeletionsAfterOutageAreDeferred(t *testing.T) {
	const outageThreshold = 2 * timekeeper.Second
	cases := []struct {
		name           string
		withoutContact timekeeper.Millis
		held           bool
	}{
		{"after a short time without contact", outageThreshold - 1, false},
		{"after an outage", outageThreshold, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReplica(Options{OutageThreshold: outageThreshold, RewriteTime: rewriteTime})
			r.RecordContact(1)
			r.Replace([]Item{put("a", 1), put("b", 1)}, at(1), 1, 1)
			now := 1 + c.withoutContact
			r.RecordContact(now)
			r.Apply([]Item{deletion("a", 2), deletion("b", 3)}, at(3), now, now)
			if holds(r, "a") != c.held {
				t.Fatalf("held = %v, want %v", holds(r, "a"), c.held)
			}
			r.Apply([]Item{put("b", 4)}, at(4), now+1, now+1)
			r.ApplyDue(now + rewriteTime)
			if holds(r, "a") || !holds(r, "b") {
				t.Fatalf("after the grace period: a held: %v, b held: %v", holds(r, "a"), holds(r, "b"))
			}
		})
	}
}

// A process that alone lost contact with the store defers deletions. It must not send the deferred items to processes that
// have already deleted them.
func TestLiveItemsOmitsDeferredDeletions(t *testing.T) {
	const outageThreshold = 2 * timekeeper.Second
	r := NewReplica(Options{OutageThreshold: outageThreshold, RewriteTime: rewriteTime})
	r.RecordContact(1)
	r.Replace([]Item{put("a", 1), put("b", 1)}, at(1), 1, 1)
	r.RecordContact(1 + outageThreshold)
	r.Apply([]Item{deletion("a", 2)}, at(2), 1+outageThreshold, 1+outageThreshold)
	if !holds(r, "a") {
		t.Fatal("the deletion was not deferred")
	}
	for _, item := range r.LiveItems() {
		if item.Key == "a" {
			t.Fatal("an item whose deletion is deferred is among the live items")
		}
	}
}

// If another process had contact with the store in the meantime, the store was not down and deletions are not deferred.
func TestPeerContactPreventsDeferral(t *testing.T) {
	const outageThreshold = 2 * timekeeper.Second
	r := NewReplica(Options{OutageThreshold: outageThreshold, RewriteTime: rewriteTime})
	r.RecordContact(1)
	r.Replace([]Item{put("a", 1)}, at(1), 1, 1)
	r.RecordPeerContact(outageThreshold)
	r.RecordContact(1 + outageThreshold)
	r.Apply([]Item{deletion("a", 2)}, at(2), 1+outageThreshold, 1+outageThreshold)
	if holds(r, "a") {
		t.Fatal("a deletion was deferred although the store was reachable")
	}
}

// Applying the changes since a replica's revision must give the same items as replacing them by a full copy.
func TestChangesSinceMatchesFullCopy(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		source := NewReplica(Options{})
		source.Replace([]Item{put("k0", 1), put("k1", 2)}, at(2), 0, 0)
		behind := NewReplica(Options{})
		behind.Replace(source.LiveItems(), source.Synced(), 0, 0)
		for revision := uint64(3); revision < 60; revision++ {
			key := fmt.Sprintf("k%d", random.IntN(6))
			if random.IntN(3) == 0 {
				source.Apply([]Item{deletion(key, revision)}, at(revision), 0, 0)
			} else {
				source.Apply([]Item{put(key, revision)}, at(revision), 0, 0)
			}
			if random.IntN(8) > 0 {
				continue
			}
			changes, ok := source.ChangesSince(behind.Synced())
			if !ok {
				t.Fatalf("seed %d: changes since %v are not available", seed, behind.Synced())
			}
			behind.Apply(changes, source.Synced(), 0, 0)
			whole := NewReplica(Options{})
			whole.Replace(source.LiveItems(), source.Synced(), 0, 0)
			if !reflect.DeepEqual(behind.Items(), whole.Items()) {
				t.Fatalf("seed %d, revision %d: %v, want %v", seed, revision, behind.Items(), whole.Items())
			}
		}
	}
}

func TestChangesSinceFailsBeforeFullRead(t *testing.T) {
	r := NewReplica(Options{})
	r.Replace([]Item{put("a", 1)}, at(5), 0, 0)
	if _, ok := r.ChangesSince(at(4)); ok {
		t.Fatal("changes before the full read are reported as available")
	}
	if _, ok := r.ChangesSince(at(5)); !ok {
		t.Fatal("changes after the full read are not available")
	}
}
