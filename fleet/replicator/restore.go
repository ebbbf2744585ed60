package replicator

import (
	"maps"

	"cardamompulley/fleet/timekeeper"
)

// removalMemory is how long a replica remembers what an item was that it has removed; it is longer than the age of the copies
// from which a store is restored.
const removalMemory = 2 * timekeeper.Minute

// restoreState is what a replica needs to move to a new era of the store.
type restoreState struct {
	// since is when the store was first seen in its era, by this process or, as far as is known, by another one.
	since timekeeper.Millis
	// peerEra is the newest era that another process has seen, since peerSince.
	peerEra   Era
	peerSince timekeeper.Millis
	// keepUntil is the end of the time for which items of earlier eras are kept although the store lacks them.
	keepUntil timekeeper.Millis
	// heldBack holds the restored items that are older than what is known, by key.
	heldBack map[string]heldItem
	// removals holds the items that were removed within removalMemory, by key.
	removals map[string]removal
}

// heldItem is an item of the store that is not used until a time.
type heldItem struct {
	Item

	until timekeeper.Millis
}

// removal is a removed item, with the value that it had, and the time of the removal.
type removal struct {
	Item

	at timekeeper.Millis
}

func newRestoreState() restoreState {
	return restoreState{heldBack: map[string]heldItem{}, removals: map[string]removal{}}
}

// EraSince returns when the store was first seen in the era of Synced, by this process or, as far as is known, by another one.
// It is zero if the replica has seen no change of era.
func (r *Replica) EraSince() timekeeper.Millis {
	return r.restore.since
}

// RecordPeerEra records that another process has seen an era of the store since the given time. What is kept and held back
// after a restore then ends as early as it does there.
func (r *Replica) RecordPeerEra(era Era, since timekeeper.Millis) {
	s := &r.restore
	if era > s.peerEra || (era == s.peerEra && since < s.peerSince) {
		s.peerEra, s.peerSince = era, since
	}
	if era != r.synced.Era || s.since == 0 || since >= s.since {
		return
	}
	r.advanceDeadlines(s.since - since)
	s.since = since
}

// advanceDeadlines moves the deadlines of the last restore to an earlier time.
func (r *Replica) advanceDeadlines(by timekeeper.Millis) {
	s := &r.restore
	s.keepUntil -= by
	for key, deferred := range r.deferredDeletions {
		if deferred.isMissing {
			r.deferredDeletions[key] = deferredDeletion{until: s.keepUntil, isMissing: true}
		}
	}
	for key, held := range s.heldBack {
		held.until -= by
		s.heldBack[key] = held
	}
}

// startEra moves the replica to a new era before the first read in it. Revisions start anew.
func (r *Replica) startEra(era Era, now timekeeper.Millis) {
	s := &r.restore
	s.since = now
	if s.peerEra == era {
		s.since = min(s.since, s.peerSince)
	}
	s.keepUntil = s.since + r.RewriteTime
	s.heldBack = map[string]heldItem{}
	if r.OutageThreshold > 0 {
		r.deferUntil = max(r.deferUntil, s.since+r.RewriteTime)
	}
	r.contentRevision = 0
	r.currentAt = 0
}

// putRestored stores an item of the first read in an era, or holds it back if the replica knows better.
func (r *Replica) putRestored(item Item) bool {
	known, ok := r.known(item.Key)
	if !ok || r.IsOutdated == nil || !r.IsOutdated(known, item) {
		return r.put(item)
	}
	r.contentRevision = max(r.contentRevision, item.Revision)
	r.restore.heldBack[item.Key] = heldItem{Item: item, until: r.restore.since + r.RenewalTime}

	return false
}

// known returns what the replica knew of a key before the store was restored; IsDeleted is set if the store had deleted it.
func (r *Replica) known(key string) (Item, bool) {
	if item, ok := r.items[key]; ok {
		deferred, isDeferred := r.deferredDeletions[key]
		item.IsDeleted = isDeferred && !deferred.isMissing

		return item, true
	}
	removed, ok := r.restore.removals[key]

	return removed.Item, ok
}

// releaseHeldItems stores the held-back items that are due and reports whether there were any.
func (r *Replica) releaseHeldItems() bool {
	changed := false
	for key, held := range r.restore.heldBack {
		if r.currentAt < held.until {
			continue
		}
		delete(r.restore.heldBack, key)
		changed = r.put(held.Item) || changed
	}

	return changed
}

// rememberRemoval records an item that has been removed.
func (r *Replica) rememberRemoval(item Item, now timekeeper.Millis) {
	item.IsDeleted = true
	r.restore.removals[item.Key] = removal{Item: item, at: now}
}

// forgetRemovals drops the removals that are older than any copy of the store.
func (r *Replica) forgetRemovals(now timekeeper.Millis) {
	maps.DeleteFunc(r.restore.removals, func(_ string, removed removal) bool { return now-removed.at >= removalMemory })
}
