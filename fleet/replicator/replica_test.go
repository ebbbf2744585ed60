package replicator

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

func put(key string, revision uint64) Item {
	return Item{Key: key, Value: []byte{1}, Revision: revision}
}

func deletion(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

func holds(r *Replica, key string) bool {
	_, ok := r.Get(key)

	return ok
}

// A watch that was under way while a peer's newer copy was taken must not bring deleted items back.
func TestLateWatchDoesNotUndoANewerCopy(t *testing.T) {
	r := NewReplica(0)
	r.Replace([]Item{put("a", 1)}, 1, 0)
	r.Replace([]Item{put("b", 5)}, 5, 10)
	if r.Apply([]Item{put("a", 2)}, 3, 20) {
		t.Fatal("an event older than the copy changed it")
	}
	if holds(r, "a") || !holds(r, "b") || r.AsOf() != 5 {
		t.Fatalf("a held: %v, b held: %v, as of %d", holds(r, "a"), holds(r, "b"), r.AsOf())
	}
}

func TestOlderCopyIsRefused(t *testing.T) {
	r := NewReplica(0)
	r.Replace([]Item{put("a", 4)}, 4, 0)
	if r.Replace([]Item{put("a", 2), put("b", 3)}, 3, 1) {
		t.Fatal("an older copy was taken")
	}
}

func TestDeletionsAfterAnOutageWait(t *testing.T) {
	const lapse = 2 * timekeeper.Second
	cases := []struct {
		name   string
		silent timekeeper.Millis
		held   bool
	}{
		{"after a short silence", lapse - 1, false},
		{"after an outage", lapse, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReplica(lapse)
			r.Reached(1)
			r.Replace([]Item{put("a", 1), put("b", 1)}, 1, 1)
			now := 1 + c.silent
			r.Reached(now)
			r.Apply([]Item{deletion("a", 2), deletion("b", 3)}, 3, now)
			if holds(r, "a") != c.held {
				t.Fatalf("held = %v, want %v", holds(r, "a"), c.held)
			}
			r.Apply([]Item{put("b", 4)}, 4, now+1)
			r.Expire(now + lapseHold)
			if holds(r, "a") || !holds(r, "b") {
				t.Fatalf("afterwards: a %v, b %v", holds(r, "a"), holds(r, "b"))
			}
		})
	}
}

// A process that was cut off alone must not hand the items that it still doubts to those that saw them deleted.
func TestDoubtedItemsStayHere(t *testing.T) {
	const lapse = 2 * timekeeper.Second
	r := NewReplica(lapse)
	r.Reached(1)
	r.Replace([]Item{put("a", 1), put("b", 1)}, 1, 1)
	r.Reached(1 + lapse)
	r.Apply([]Item{deletion("a", 2)}, 2, 1+lapse)
	if !holds(r, "a") {
		t.Fatal("the deletion was not doubted")
	}
	for _, item := range r.Copy() {
		if item.Key == "a" {
			t.Fatal("a doubted item was handed on")
		}
	}
}

// An outage that another process did not see was none of the store's.
func TestContactElsewhereEndsTheDoubt(t *testing.T) {
	const lapse = 2 * timekeeper.Second
	r := NewReplica(lapse)
	r.Reached(1)
	r.Replace([]Item{put("a", 1)}, 1, 1)
	r.HeardElsewhere(lapse)
	r.Reached(1 + lapse)
	r.Apply([]Item{deletion("a", 2)}, 2, 1+lapse)
	if holds(r, "a") {
		t.Fatal("a deletion was doubted though the store was there")
	}
}

// Whoever takes the changes since its own revision holds what whoever takes the whole copy holds.
func TestChangesAreAsGoodAsAWholeCopy(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		source := NewReplica(0)
		source.Replace([]Item{put("k0", 1), put("k1", 2)}, 2, 0)
		behind := NewReplica(0)
		behind.Replace(source.Copy(), source.AsOf(), 0)
		for revision := uint64(3); revision < 60; revision++ {
			key := fmt.Sprintf("k%d", random.IntN(6))
			if random.IntN(3) == 0 {
				source.Apply([]Item{deletion(key, revision)}, revision, 0)
			} else {
				source.Apply([]Item{put(key, revision)}, revision, 0)
			}
			if random.IntN(8) > 0 {
				continue
			}
			changes, ok := source.Since(behind.AsOf())
			if !ok {
				t.Fatalf("seed %d: changes since %d are not known", seed, behind.AsOf())
			}
			behind.Apply(changes, source.AsOf(), 0)
			whole := NewReplica(0)
			whole.Replace(source.Copy(), source.AsOf(), 0)
			if !reflect.DeepEqual(behind.Items(), whole.Items()) {
				t.Fatalf("seed %d, revision %d: %v, want %v", seed, revision, behind.Items(), whole.Items())
			}
		}
	}
}

func TestChangesBeforeAWholeReadAreNotKnown(t *testing.T) {
	r := NewReplica(0)
	r.Replace([]Item{put("a", 1)}, 5, 0)
	if _, ok := r.Since(4); ok {
		t.Fatal("changes before the read are said to be known")
	}
	if _, ok := r.Since(5); !ok {
		t.Fatal("changes after the read are not known")
	}
}
