package replicator

import "testing"

// newRestoredPair returns a replica that has known the store before it was restored, and one that has not.
func newRestoredPair() (veteran, recent *Replica) {
	veteran = newRestorableReplica(entry("changed", "2", inEra(1, 90)), entry("gone", "1", inEra(1, 91)), entry("lost", "1", inEra(1, 92)))
	veteran.Apply([]Item{deletionAt("gone", inEra(1, 101))}, inEra(1, 101), 500, 500)
	restored := []Item{entry("changed", "1", inEra(2, 38)), entry("gone", "1", inEra(2, 39))}
	veteran.Replace(restored, inEra(2, 40), 1000, 1000)
	recent = NewReplica(veteran.Options)
	recent.Replace(restored, inEra(2, 40), 1100, 1100)
	recent.RecordPeerEra(2, 1000)

	return veteran, recent
}

// A process that starts after the store was restored must not bring back what the others know to have changed.
func TestRecentReplicaLearnsWhatWasKnownBefore(t *testing.T) {
	veteran, recent := newRestoredPair()
	if !recent.IsRecent() || !recent.LearnEarlier(veteran.Earlier(), veteran.Synced(), 1200) {
		t.Fatal("a recent replica has learned nothing")
	}
	if valueOf(recent, "changed") != "2" || holds(recent, "gone") || !holds(recent, "lost") {
		t.Fatalf("changed %q, gone held: %v, lost held: %v", valueOf(recent, "changed"), holds(recent, "gone"), holds(recent, "lost"))
	}
	for _, r := range []*Replica{veteran, recent} {
		hearFromStore(r, 1000+renewalTime)
		r.ApplyDue(1000 + renewalTime)
		if valueOf(r, "changed") != "1" || !holds(r, "gone") || holds(r, "lost") {
			t.Fatalf("in the end: changed %q, gone held: %v, lost held: %v", valueOf(r, "changed"), holds(r, "gone"), holds(r, "lost"))
		}
	}
}

func TestEarlierItemsDoNotReplaceLaterOnes(t *testing.T) {
	veteran, recent := newRestoredPair()
	recent.Apply([]Item{entry("changed", "1", inEra(2, 41)), entry("gone", "1", inEra(2, 42))}, inEra(2, 42), 1150, 1150)
	recent.LearnEarlier(veteran.Earlier(), veteran.Synced(), 1200)
	if valueOf(recent, "changed") != "1" || !holds(recent, "gone") {
		t.Fatal("what was written again has been replaced")
	}
	if recent.IsRecent() || recent.LearnEarlier(veteran.Earlier(), veteran.Synced(), 1300) {
		t.Fatal("a replica has learned twice")
	}
	_, other := newRestoredPair()
	other.Replace(nil, inEra(3, 10), 1200, 1200)
	if other.LearnEarlier(veteran.Earlier(), veteran.Synced(), 1300) {
		t.Fatal("a replica has learned what is of another era")
	}
}

// What another process keeps because the store lacks it must not come back where its deletion was seen.
func TestEarlierItemDoesNotUndoDeletionOfThisEra(t *testing.T) {
	veteran, _ := newRestoredPair()
	recent := NewReplica(veteran.Options)
	recent.Replace([]Item{entry("lost", "1", inEra(2, 35))}, inEra(2, 40), 1100, 1100)
	recent.RecordPeerEra(2, 1000)
	recent.Apply([]Item{deletionAt("lost", inEra(2, 41))}, inEra(2, 41), 1150, 1150)
	recent.LearnEarlier(veteran.Earlier(), veteran.Synced(), 1200)
	if holds(recent, "lost") {
		t.Fatal("an item whose deletion was seen in this era is back")
	}
}
