package replicator

import (
	"slices"
	"strings"
)

// maxRecordedDeletions is the maximum number of deletions that a replica records for ChangesSince.
const maxRecordedDeletions = 1024

// LiveItems returns the items that the store holds, sorted by key: without those whose deletion is deferred, and with those
// held back. Only these are sent to other processes, which may know more or less than this one.
func (r *Replica) LiveItems() []Item {
	items := make([]Item, 0, len(r.items))
	for _, item := range r.Items() {
		_, isDeferred := r.deferredDeletions[item.Key]
		_, isHeld := r.restore.heldBack[item.Key]
		if !isDeferred && !isHeld {
			items = append(items, item)
		}
	}
	for _, held := range r.restore.heldBack {
		items = append(items, held.Item)
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })

	return items
}

// ChangesSince returns the items and deletions after a position, for another process. It returns false if some deletions
// after that position are no longer recorded, or if it is in another era.
func (r *Replica) ChangesSince(p Position) (changes []Item, ok bool) {
	if p.Era != r.synced.Era || p.Revision < r.deletionsCompleteAfter {
		return nil, false
	}
	for _, item := range r.LiveItems() {
		if item.Revision > p.Revision {
			changes = append(changes, item)
		}
	}
	for _, e := range r.deletions {
		if e.Revision > p.Revision {
			changes = append(changes, e)
		}
	}

	return changes, true
}

// recordDeletion records a deletion for ChangesSince and drops the oldest one above the limit.
func (r *Replica) recordDeletion(e Item) {
	r.deletions = append(r.deletions, e)
	if len(r.deletions) > maxRecordedDeletions {
		r.deletionsCompleteAfter = r.deletions[0].Revision
		r.deletions = r.deletions[1:]
	}
}
