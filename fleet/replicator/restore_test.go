package replicator

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

const (
	rewriteTime = 2 * timekeeper.Second
	renewalTime = 5 * timekeeper.Second
)

// inEra returns a position in an era.
func inEra(era Era, revision uint64) Position {
	return Position{Era: era, Revision: revision}
}

func entry(key, value string, p Position) Item {
	return Item{Key: key, Value: []byte(value), Position: p}
}

// newRestorableReplica returns a replica of era 1 in which a restored item is outdated if its value is smaller, or if the known
// item was deleted.
func newRestorableReplica(items ...Item) *Replica {
	r := NewReplica(Options{
		RewriteTime: rewriteTime, RenewalTime: renewalTime,
		IsOutdated: func(known, restored Item) bool {
			return known.IsDeleted || string(restored.Value) < string(known.Value)
		},
	})
	r.Replace(items, inEra(1, 100), 1, 1)

	return r
}

// valueOf returns the value of a key, or an empty string.
func valueOf(r *Replica, key string) string {
	item, _ := r.Get(key)

	return string(item.Value)
}

// Guards against replicas that ignore what a restored store says because its revisions are lower.
func TestReplicaFollowsRestoredStore(t *testing.T) {
	r := newRestorableReplica(entry("a", "1", inEra(1, 90)), entry("b", "1", inEra(1, 95)))
	if r.Apply([]Item{entry("a", "2", inEra(2, 120))}, inEra(2, 120), 10, 10) {
		t.Fatal("changes of a new era were applied without a full read")
	}
	if !r.Replace([]Item{entry("a", "1", inEra(2, 40)), entry("b", "1", inEra(2, 41))}, inEra(2, 42), 20, 20) {
		t.Fatal("the first read of the new era was ignored")
	}
	if r.ContentRevision() != 41 || r.Synced() != inEra(2, 42) {
		t.Fatalf("content %d, synced at %v", r.ContentRevision(), r.Synced())
	}
	if _, ok := r.ChangesSince(inEra(1, 100)); ok {
		t.Fatal("changes since a position of the old era are reported as available")
	}
	r.Apply([]Item{entry("a", "3", inEra(2, 43))}, inEra(2, 43), 30, 30)
	if valueOf(r, "a") != "3" {
		t.Fatal("a change of the new era was ignored")
	}
	if r.Replace([]Item{entry("a", "0", inEra(1, 200))}, inEra(1, 200), 40, 40) || valueOf(r, "a") != "3" {
		t.Fatal("a late read of the old era was applied")
	}
}

// A revision that is given out again must not be taken for the item that had it before.
func TestReusedRevisionIsAnotherChange(t *testing.T) {
	r := newRestorableReplica(entry("a", "1", inEra(1, 90)))
	r.Replace([]Item{entry("a", "2", inEra(2, 90))}, inEra(2, 90), 10, 10)
	if valueOf(r, "a") != "2" {
		t.Fatal("the item with the reused revision was ignored")
	}
}

// hearFromStore lets the store answer a watch without changes.
func hearFromStore(r *Replica, now timekeeper.Millis) {
	r.Apply(nil, r.Synced(), now, now)
}

func TestItemsThatCopyLacksAreKeptUntilTheyCanBeWrittenAgain(t *testing.T) {
	r := newRestorableReplica(entry("lost", "1", inEra(1, 90)), entry("rewritten", "1", inEra(1, 91)), entry("removed", "1", inEra(1, 92)))
	r.Replace(nil, inEra(2, 40), 1000, 1000)
	r.Apply([]Item{entry("rewritten", "1", inEra(2, 41)), {Key: "removed", Position: inEra(2, 42), IsDeleted: true}}, inEra(2, 42), 1500, 1500)
	if !holds(r, "lost") || !holds(r, "rewritten") || holds(r, "removed") {
		t.Fatalf("before the end: lost %v, rewritten %v, removed %v", holds(r, "lost"), holds(r, "rewritten"), holds(r, "removed"))
	}
	if len(r.LiveItems()) != 1 {
		t.Fatalf("%d items are sent to others, want only what the store holds", len(r.LiveItems()))
	}
	r.Replace([]Item{entry("rewritten", "1", inEra(2, 41))}, inEra(2, 43), 1600, 1600)
	r.ApplyDue(1000 + rewriteTime - 1)
	if !holds(r, "lost") {
		t.Fatal("an item was dropped before its owner had the time to write it again")
	}
	r.ApplyDue(1000 + rewriteTime)
	if !holds(r, "lost") {
		t.Fatal("an item was dropped although its owner may have written it since the store last answered")
	}
	hearFromStore(r, 1000+rewriteTime)
	r.ApplyDue(1000 + rewriteTime)
	if holds(r, "lost") || !holds(r, "rewritten") {
		t.Fatalf("after the end: lost %v, rewritten %v", holds(r, "lost"), holds(r, "rewritten"))
	}
}

// What a restored store says of items that are known to have changed or gone since must not count on its word alone.
func TestOutdatedItemsAreHeldBackUntilRenewed(t *testing.T) {
	cases := []struct {
		name  string
		after func(r *Replica)
		at    timekeeper.Millis
		// changed and gone are the values of the two keys then.
		changed, gone string
	}{
		{"at once", func(*Replica) {}, 1000, "2", ""},
		{"not renewed yet", func(*Replica) {}, 1000 + renewalTime - 1, "2", ""},
		{"not confirmed by the store", func(*Replica) {}, 1000 + renewalTime, "2", ""},
		{"renewed, as the store holds them still", func(r *Replica) { hearFromStore(r, 1000+renewalTime) }, 1000 + renewalTime, "1", "1"},
		{"written again", func(r *Replica) {
			r.Apply([]Item{entry("changed", "2", inEra(2, 41)), entry("gone", "1", inEra(2, 42))}, inEra(2, 42), 1100, 1100)
		}, 1200, "2", "1"},
		{"deleted", func(r *Replica) {
			r.Apply([]Item{deletionAt("changed", inEra(2, 41)), deletionAt("gone", inEra(2, 42))}, inEra(2, 42), 1100, 1100)
		}, 1000 + renewalTime, "", ""},
		{"read again", func(r *Replica) {
			r.Replace([]Item{entry("changed", "1", inEra(2, 38)), entry("gone", "1", inEra(2, 39))}, inEra(2, 40), 1100, 1100)
		}, 1200, "2", ""},
		{"restored again", func(r *Replica) {
			r.Replace([]Item{entry("changed", "1", inEra(3, 30)), entry("gone", "1", inEra(3, 31))}, inEra(3, 32), 2000, 2000)
		}, 1000 + renewalTime, "2", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRestorableReplica(entry("changed", "2", inEra(1, 90)), entry("gone", "1", inEra(1, 91)))
			r.Apply([]Item{deletionAt("gone", inEra(1, 101))}, inEra(1, 101), 500, 500)
			r.Replace([]Item{entry("changed", "1", inEra(2, 38)), entry("gone", "1", inEra(2, 39))}, inEra(2, 40), 1000, 1000)
			c.after(r)
			r.ApplyDue(c.at)
			if valueOf(r, "changed") != c.changed || valueOf(r, "gone") != c.gone {
				t.Fatalf("changed %q, gone %q, want %q and %q", valueOf(r, "changed"), valueOf(r, "gone"), c.changed, c.gone)
			}
		})
	}
}

func deletionAt(key string, p Position) Item {
	return Item{Key: key, Position: p, IsDeleted: true}
}

// A process that was cut off must not keep items for longer than those that have followed the store.
func TestPeersTellHowLongAgoTheStoreWasRestored(t *testing.T) {
	cases := []struct {
		name        string
		peerIsFirst bool
	}{{"told before the read", true}, {"told after the read", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRestorableReplica(entry("lost", "1", inEra(1, 90)), entry("changed", "2", inEra(1, 91)))
			tell := func() { r.RecordPeerEra(2, 1000) }
			if c.peerIsFirst {
				tell()
			}
			r.Replace([]Item{entry("changed", "1", inEra(2, 30))}, inEra(2, 40), 2500, 2500)
			if !c.peerIsFirst {
				tell()
			}
			hearFromStore(r, 1000+rewriteTime)
			r.ApplyDue(1000 + rewriteTime)
			if holds(r, "lost") || valueOf(r, "changed") != "2" {
				t.Fatalf("lost held: %v, changed %q", holds(r, "lost"), valueOf(r, "changed"))
			}
			hearFromStore(r, 1000+renewalTime)
			r.ApplyDue(1000 + renewalTime)
			if valueOf(r, "changed") != "1" || r.EraSince() != 1000 {
				t.Fatalf("changed %q, era since %d", valueOf(r, "changed"), r.EraSince())
			}
		})
	}
}

// A peer's copy that was read before owners could write their items again must not count as proof that they have not.
func TestOldCopyDoesNotEndTheTimeForWritingAgain(t *testing.T) {
	r := newRestorableReplica(entry("lost", "1", inEra(1, 90)))
	r.RecordPeerEra(2, 1000)
	r.Replace(nil, inEra(2, 40), 1200, 9000)
	r.ApplyDue(9000)
	if !holds(r, "lost") {
		t.Fatal("an item was dropped on the word of an old copy")
	}
	r.Replace(nil, inEra(2, 41), 9100, 9100)
	if holds(r, "lost") {
		t.Fatal("an item was kept although the store still lacks it after the time for writing it again")
	}
}
