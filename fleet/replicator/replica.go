package replicator

import (
	"maps"
	"slices"
	"strings"

	"cardamompulley/fleet/timekeeper"
)

// maxRecordedDeletions is the maximum number of deletions that a replica records for ChangesSince.
const maxRecordedDeletions = 1024

// deletionGracePeriod is how long after a store outage deletions are deferred, so that the owners of expired entries can
// write them again.
const deletionGracePeriod = 2 * timekeeper.Second

// Item is an entry of the store, or the deletion of one.
type Item struct {
	Key   string
	Value []byte
	// Position is that of the item's last change.
	Position
	IsDeleted bool
}

// Replica is a copy of one key range of a store. It never returns to an older state. It is not safe for concurrent use.
//
// Entries of the store can expire during an outage of the store and be written again by their owners afterwards. A replica
// therefore defers the deletions that it receives shortly after an outage: it keeps the items until the owners have had time
// to write them again.
type Replica struct {
	// OutageThreshold is the time without contact that counts as a store outage; zero means that deletions are never deferred.
	OutageThreshold timekeeper.Millis

	items map[string]Item
	// deletions holds the newest deletions in order, including all after the revision deletionsCompleteAfter.
	deletions              []Item
	deletionsCompleteAfter uint64
	// deferredDeletions holds the keys of deleted items that are kept, and until when.
	deferredDeletions map[string]timekeeper.Millis
	syncedRevision    uint64
	contentRevision   uint64
	hasSynced         bool
	// lastContact is when the store last answered this process, lastPeerContact when it last answered another one.
	lastContact     timekeeper.Millis
	lastPeerContact timekeeper.Millis
	// deferUntil is the end of the grace period after the last outage.
	deferUntil timekeeper.Millis
}

// NewReplica returns an empty replica. See Replica.OutageThreshold for the argument.
func NewReplica(outageThreshold timekeeper.Millis) *Replica {
	return &Replica{
		OutageThreshold:   outageThreshold,
		items:             map[string]Item{},
		deferredDeletions: map[string]timekeeper.Millis{},
	}
}

// HasSynced reports whether the replica has ever held the whole range.
func (r *Replica) HasSynced() bool {
	return r.hasSynced
}

// SyncedRevision returns the store revision up to which the replica holds all changes. Messages and logs call it as-of.
func (r *Replica) SyncedRevision() uint64 {
	return r.syncedRevision
}

// ContentRevision returns the revision of the newest change to an item of the replica. Messages call it content.
func (r *Replica) ContentRevision() uint64 {
	return r.contentRevision
}

// LastContact returns when the store last answered this process, or zero if it never did.
func (r *Replica) LastContact() timekeeper.Millis {
	return r.lastContact
}

// RecordContact records that the store answered. If this ends an outage, deletions are deferred during the grace period.
func (r *Replica) RecordContact(now timekeeper.Millis) {
	if r.OutageThreshold > 0 && r.hasSynced && r.lastContact > 0 &&
		now-max(r.lastContact, r.lastPeerContact) >= r.OutageThreshold {
		r.deferUntil = now + deletionGracePeriod
	}
	r.lastContact = now
}

// RecordPeerContact records that the store answered another process at the given time. A store that answers others is not
// down, so the time counts as contact when an outage is detected.
func (r *Replica) RecordPeerContact(at timekeeper.Millis) {
	r.lastPeerContact = max(r.lastPeerContact, at)
}

// Replace replaces the replica's items by the whole range as read at a revision and reports whether anything changed. It
// ignores a range that is older than the replica.
func (r *Replica) Replace(items []Item, revision uint64, now timekeeper.Millis) bool {
	if r.hasSynced && revision < r.syncedRevision {
		return false
	}
	changed := !r.hasSynced
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		changed = r.put(item) || changed
	}
	for key := range r.items {
		if !present[key] {
			changed = r.remove(Item{Key: key, Position: Position{Revision: revision}, IsDeleted: true}, now) || changed
		}
	}
	r.hasSynced = true
	r.syncedRevision = revision
	// The revisions at which the missing items were deleted are unknown.
	r.deletions = nil
	r.deletionsCompleteAfter = revision

	return changed
}

// Apply applies the changes up to a revision and reports whether anything changed. It skips changes up to SyncedRevision,
// which the replica already contains.
func (r *Replica) Apply(events []Item, revision uint64, now timekeeper.Millis) bool {
	changed := false
	for _, e := range events {
		if e.Revision <= r.syncedRevision {
			continue
		}
		if e.IsDeleted {
			r.recordDeletion(e)
			changed = r.remove(e, now) || changed
		} else {
			changed = r.put(e) || changed
		}
	}
	r.syncedRevision = max(r.syncedRevision, revision)

	return changed
}

// recordDeletion records a deletion for ChangesSince and drops the oldest one above the limit.
func (r *Replica) recordDeletion(e Item) {
	r.deletions = append(r.deletions, e)
	if len(r.deletions) > maxRecordedDeletions {
		r.deletionsCompleteAfter = r.deletions[0].Revision
		r.deletions = r.deletions[1:]
	}
}

// put stores an item unless the replica holds the same or a newer revision, and reports whether it stored it.
func (r *Replica) put(item Item) bool {
	delete(r.deferredDeletions, item.Key)
	r.contentRevision = max(r.contentRevision, item.Revision)
	if old, ok := r.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	r.items[item.Key] = item

	return true
}

// remove deletes an item, or defers the deletion during a grace period, and reports whether it deleted it.
func (r *Replica) remove(item Item, now timekeeper.Millis) bool {
	old, ok := r.items[item.Key]
	if !ok || (item.Revision != 0 && old.Revision > item.Revision) {
		return false
	}
	r.contentRevision = max(r.contentRevision, item.Revision)
	if now < r.deferUntil {
		if _, deferred := r.deferredDeletions[item.Key]; !deferred {
			r.deferredDeletions[item.Key] = r.deferUntil
		}

		return false
	}
	delete(r.items, item.Key)
	delete(r.deferredDeletions, item.Key)

	return true
}

// ApplyDeferredDeletions removes the deleted items whose grace period has ended and reports whether there were any.
func (r *Replica) ApplyDeferredDeletions(now timekeeper.Millis) bool {
	changed := false
	for key, until := range r.deferredDeletions {
		if now < until {
			continue
		}
		delete(r.items, key)
		delete(r.deferredDeletions, key)
		changed = true
	}

	return changed
}

// Items returns the items, including those whose deletion is deferred, sorted by key.
func (r *Replica) Items() []Item {
	items := slices.Collect(maps.Values(r.items))
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })

	return items
}

// LiveItems returns the items without those whose deletion is deferred, sorted by key. Only these are sent to other
// processes, which may have seen the deletion without an outage.
func (r *Replica) LiveItems() []Item {
	return slices.DeleteFunc(r.Items(), func(i Item) bool {
		_, deferred := r.deferredDeletions[i.Key]

		return deferred
	})
}

// ChangesSince returns the items and deletions after a revision, for another process. It returns false if some deletions
// after that revision are no longer recorded.
func (r *Replica) ChangesSince(revision uint64) (changes []Item, ok bool) {
	if revision < r.deletionsCompleteAfter {
		return nil, false
	}
	for _, item := range r.LiveItems() {
		if item.Revision > revision {
			changes = append(changes, item)
		}
	}
	for _, e := range r.deletions {
		if e.Revision > revision {
			changes = append(changes, e)
		}
	}

	return changes, true
}

// Get returns the item of a key, also if its deletion is deferred, and false if there is none.
func (r *Replica) Get(key string) (Item, bool) {
	item, ok := r.items[key]

	return item, ok
}
