package replicator

import "cardamompulley/fleet/timekeeper"

// IsRecent reports whether the replica has known the store in one era only.
func (r *Replica) IsRecent() bool {
	return r.hasSynced && r.restore.since == 0
}

// Earlier returns what the replica knows from before the store was restored and the store has lost: the items that it lacks, and
// the items and deletions that are newer than what it holds.
func (r *Replica) Earlier() []Item {
	var earlier []Item
	for key, deferred := range r.deferredDeletions {
		if deferred.isMissing {
			earlier = append(earlier, r.items[key])
		}
	}
	for key := range r.restore.heldBack {
		if known, ok := r.known(key); ok {
			earlier = append(earlier, known)
		}
	}

	return earlier
}

// LearnEarlier applies what another process knows from before the store was restored, as of a position in the current era, and
// reports whether anything changed. Only a recent replica needs it; it then keeps and holds back items as if it had known the
// earlier era itself.
func (r *Replica) LearnEarlier(earlier []Item, asOf Position, now timekeeper.Millis) bool {
	s := &r.restore
	if !r.IsRecent() || asOf.Era != r.synced.Era || s.peerEra != asOf.Era {
		return false
	}
	s.since = max(s.peerSince, 1)
	s.keepUntil = s.since + r.RewriteTime
	changed := false
	for _, known := range earlier {
		changed = r.learnEarlierItem(known, asOf, now) || changed
	}

	return changed
}

// learnEarlierItem keeps an item that the store lacks, or lets it take the place of an older one that the store holds.
func (r *Replica) learnEarlierItem(known Item, asOf Position, now timekeeper.Millis) bool {
	current, isPresent := r.items[known.Key]
	if !isPresent {
		isDeletedSince := r.restore.removals[known.Key].Era == r.synced.Era
		if known.IsDeleted || isDeletedSince || r.currentAt >= r.restore.keepUntil {
			return false
		}
		r.items[known.Key] = known
		r.deferredDeletions[known.Key] = deferredDeletion{until: r.restore.keepUntil, isMissing: true}

		return true
	}
	until := r.restore.since + r.RenewalTime
	if current.Compare(asOf) > 0 || r.currentAt >= until || r.IsOutdated == nil || !r.IsOutdated(known, current) {
		return false
	}
	r.restore.heldBack[known.Key] = heldItem{Item: current, until: until}
	if known.IsDeleted {
		r.drop(known, now)
	} else {
		r.items[known.Key] = known
	}

	return true
}
