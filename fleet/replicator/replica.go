package replicator

import (
	"maps"
	"slices"
	"strings"

	"cardamompulley/fleet/timekeeper"
)

// Item is an entry of the store, or the deletion of one.
type Item struct {
	Key   string
	Value []byte
	// Position is that of the item's last change.
	Position
	IsDeleted bool
}

// Options configure a replica. The zero value never defers deletions and believes all that a restored store holds.
type Options struct {
	// OutageThreshold is the time without contact that counts as a store outage; zero means that deletions are never deferred.
	OutageThreshold timekeeper.Millis
	// RewriteTime is how long after an outage deletions are deferred, and items are kept that a restored store lacks, so that
	// their owners can write them again.
	RewriteTime timekeeper.Millis
	// RenewalTime is how long a restored item that IsOutdated is held back. An item that the store still holds after that has
	// been renewed by its owner.
	RenewalTime timekeeper.Millis
	// IsOutdated reports whether a restored item is older than the known one. If IsDeleted is set, the known one has the value
	// that it had before its deletion. A nil function holds nothing back.
	IsOutdated func(known, restored Item) bool
}

// Replica is a copy of one key range of a store. It is not safe for concurrent use.
//
// Within an era of the store, it never returns to an older state. When the store is restored from an older copy of its content,
// the replica moves to the new era with what the store holds then, and keeps what it knows better: see Options.
//
// Entries of the store can expire during an outage of the store and be written again by their owners afterwards. A replica
// therefore defers the deletions that it receives shortly after an outage: it keeps the items until the owners have had time
// to write them again.
type Replica struct {
	Options

	items map[string]Item
	// deletions holds the newest deletions in order, including all after the revision deletionsCompleteAfter.
	deletions              []Item
	deletionsCompleteAfter uint64
	// deferredDeletions holds the deletions of items that are kept, by key.
	deferredDeletions map[string]deferredDeletion
	synced            Position
	// currentAt is a time at which the replica held all that the store did.
	currentAt       timekeeper.Millis
	contentRevision uint64
	hasSynced       bool
	// lastContact is when the store last answered this process, lastPeerContact when it last answered another one.
	lastContact     timekeeper.Millis
	lastPeerContact timekeeper.Millis
	// deferUntil is the end of the grace period after the last outage.
	deferUntil timekeeper.Millis
	restore    restoreState
}

// deferredDeletion is the deletion of an item that is kept until a time. IsMissing means that no deletion was seen: a restored
// store lacks the item.
type deferredDeletion struct {
	until     timekeeper.Millis
	isMissing bool
}

// NewReplica returns an empty replica.
func NewReplica(o Options) *Replica {
	return &Replica{
		Options:           o,
		items:             map[string]Item{},
		deferredDeletions: map[string]deferredDeletion{},
		restore:           newRestoreState(),
	}
}

// HasSynced reports whether the replica has ever held the whole range.
func (r *Replica) HasSynced() bool {
	return r.hasSynced
}

// Synced returns the position of the store up to which the replica holds all changes. Messages and logs call its revision
// as-of.
func (r *Replica) Synced() Position {
	return r.synced
}

// ContentRevision returns the revision, in the era of Synced, of the newest change to an item of the replica. Messages call it
// content.
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
		r.deferUntil = now + r.RewriteTime
	}
	r.lastContact = now
}

// RecordPeerContact records that the store answered another process at the given time. A store that answers others is not
// down, so the time counts as contact when an outage is detected.
func (r *Replica) RecordPeerContact(at timekeeper.Millis) {
	r.lastPeerContact = max(r.lastPeerContact, at)
}

// RecordRelayedContact records what another process, which this one follows in place of the store, has told: that the store answered it
// at the given time. If this ends an outage, deletions are deferred during the grace period.
func (r *Replica) RecordRelayedContact(at, now timekeeper.Millis) {
	known := max(r.lastContact, r.lastPeerContact)
	if r.OutageThreshold > 0 && r.hasSynced && known > 0 && at-known >= r.OutageThreshold {
		r.deferUntil = now + r.RewriteTime
	}
	r.RecordPeerContact(at)
}

// Replace replaces the replica's items by the whole range as the store held it at a position, at the time readAt or later, and
// reports whether anything changed. It ignores a range that is older than the replica.
func (r *Replica) Replace(items []Item, at Position, readAt, now timekeeper.Millis) bool {
	if r.hasSynced && at.Compare(r.synced) < 0 {
		return false
	}
	put := r.put
	if r.hasSynced && at.Era > r.synced.Era {
		r.startEra(at.Era, now)
		put = r.putRestored
	}
	r.currentAt = max(r.currentAt, readAt)
	changed := !r.hasSynced
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		changed = put(item) || changed
	}
	for key := range r.items {
		if !present[key] {
			changed = r.removeMissing(key, at, now) || changed
		}
	}
	maps.DeleteFunc(r.restore.heldBack, func(key string, _ heldItem) bool { return !present[key] })
	r.hasSynced = true
	r.synced = at
	// The revisions at which the missing items were deleted are unknown.
	r.deletions = nil
	r.deletionsCompleteAfter = at.Revision

	return changed
}

// Apply applies the changes up to a position, at which the store was at the time readAt or later, and reports whether anything
// changed. It skips changes that the replica already contains, and all of them if the position is in another era: changes
// alone do not lead from one era to another.
func (r *Replica) Apply(events []Item, at Position, readAt, now timekeeper.Millis) bool {
	if at.Era != r.synced.Era {
		return false
	}
	if at.Compare(r.synced) >= 0 {
		r.currentAt = max(r.currentAt, readAt)
	}
	changed := false
	for _, e := range events {
		if e.Compare(r.synced) <= 0 {
			continue
		}
		if e.IsDeleted {
			r.recordDeletion(e)
			changed = r.remove(e, now) || changed
		} else {
			changed = r.put(e) || changed
		}
	}
	r.synced.Revision = max(r.synced.Revision, at.Revision)

	return changed
}

// put stores an item unless the replica holds the same or a newer one, and reports whether it stored it.
func (r *Replica) put(item Item) bool {
	r.contentRevision = max(r.contentRevision, item.Revision)
	if held, ok := r.restore.heldBack[item.Key]; ok && item.Compare(held.Position) <= 0 {
		return false
	}
	delete(r.restore.heldBack, item.Key)
	delete(r.restore.removals, item.Key)
	delete(r.deferredDeletions, item.Key)
	if old, ok := r.items[item.Key]; ok && old.Compare(item.Position) >= 0 {
		return false
	}
	r.items[item.Key] = item

	return true
}

// removeMissing removes an item that the store does not hold at a position, or defers its deletion if the item is of an
// earlier era and its owner may write it again.
func (r *Replica) removeMissing(key string, at Position, now timekeeper.Millis) bool {
	if r.items[key].Era == at.Era || r.currentAt >= r.restore.keepUntil {
		return r.remove(Item{Key: key, Position: at, IsDeleted: true}, now)
	}
	if deferred, ok := r.deferredDeletions[key]; !ok || deferred.isMissing {
		r.deferredDeletions[key] = deferredDeletion{until: r.restore.keepUntil, isMissing: true}
	}

	return false
}

// remove deletes an item, or defers the deletion during a grace period, and reports whether it deleted it.
func (r *Replica) remove(item Item, now timekeeper.Millis) bool {
	if held, ok := r.restore.heldBack[item.Key]; ok && item.Compare(held.Position) >= 0 {
		delete(r.restore.heldBack, item.Key)
	}
	old, ok := r.items[item.Key]
	if !ok || old.Compare(item.Position) > 0 {
		return false
	}
	r.contentRevision = max(r.contentRevision, item.Revision)
	if now < r.deferUntil {
		if deferred, ok := r.deferredDeletions[item.Key]; !ok || deferred.isMissing {
			r.deferredDeletions[item.Key] = deferredDeletion{until: r.deferUntil}
		}

		return false
	}
	r.drop(old, now)

	return true
}

// drop deletes an item and remembers what it was.
func (r *Replica) drop(item Item, now timekeeper.Millis) {
	delete(r.items, item.Key)
	delete(r.deferredDeletions, item.Key)
	r.rememberRemoval(item, now)
}

// ApplyDue removes the deleted items whose grace period has ended, stores the held-back items whose owners must have renewed
// them, and reports whether there were any. What a restored store lacks or holds counts only if the store still did at the
// end of the period.
func (r *Replica) ApplyDue(now timekeeper.Millis) bool {
	changed := false
	for key, deferred := range r.deferredDeletions {
		isDue := now >= deferred.until
		if deferred.isMissing {
			isDue = r.currentAt >= deferred.until
		}
		if isDue {
			r.drop(r.items[key], now)
			changed = true
		}
	}
	r.forgetRemovals(now)

	return r.releaseHeldItems() || changed
}

// NextDue returns the time at which ApplyDue has something to do next, provided that the replica is then up to date, or zero if
// there is nothing.
func (r *Replica) NextDue() timekeeper.Millis {
	next := timekeeper.Millis(0)
	add := func(at timekeeper.Millis) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, deferred := range r.deferredDeletions {
		add(deferred.until)
	}
	for _, held := range r.restore.heldBack {
		add(held.until)
	}

	return next
}

// Items returns the items, including those whose deletion is deferred, sorted by key.
func (r *Replica) Items() []Item {
	items := slices.Collect(maps.Values(r.items))
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })

	return items
}

// Get returns the item of a key, also if its deletion is deferred, and false if there is none.
func (r *Replica) Get(key string) (Item, bool) {
	item, ok := r.items[key]

	return item, ok
}
