package replicator

import (
	"maps"
	"slices"
	"strings"

	"cardamompulley/fleet/timekeeper"
)

// maxDeletions bounds the deletions that a replica remembers.
const maxDeletions = 1024

// lapseHold is how long after an outage of the store entries that lapsed meanwhile may still come back.
const lapseHold = 2 * timekeeper.Second

// Item is one entry of a store, or its deletion.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Replica is a copy of one range; it never goes back to an older state.
type Replica struct {
	// Lapse is the length of an outage of the store after which deletions may be lapses; zero believes every deletion.
	Lapse timekeeper.Millis

	items map[string]Item
	// deletions are the newest ones, in order; all after the revision complete are among them.
	deletions []Item
	complete  uint64
	// doubtful are deleted items that are kept until the given instant.
	doubtful map[string]timekeeper.Millis
	asOf     uint64
	content  uint64
	synced   bool
	// heard is when the store last answered this process, heardElsewhere when it last answered another one.
	heard          timekeeper.Millis
	heardElsewhere timekeeper.Millis
	// holdUntil ends the doubt after an outage.
	holdUntil timekeeper.Millis
}

// NewReplica returns a replica of nothing.
func NewReplica(lapse timekeeper.Millis) *Replica {
	return &Replica{Lapse: lapse, items: map[string]Item{}, doubtful: map[string]timekeeper.Millis{}}
}

// Synced tells whether the replica has ever held a whole range.
func (r *Replica) Synced() bool {
	return r.synced
}

// AsOf returns the revision of the store up to which the replica is complete.
func (r *Replica) AsOf() uint64 {
	return r.asOf
}

// Content returns the revision of the newest change in the replica.
func (r *Replica) Content() uint64 {
	return r.content
}

// Heard returns when the store last answered this process.
func (r *Replica) Heard() timekeeper.Millis {
	return r.heard
}

// Reached notes an answer of the store and doubts deletions for a while after an outage.
func (r *Replica) Reached(now timekeeper.Millis) {
	if r.Lapse > 0 && r.synced && r.heard > 0 && now-max(r.heard, r.heardElsewhere) >= r.Lapse {
		r.holdUntil = now + lapseHold
	}
	r.heard = now
}

// HeardElsewhere notes that another process had an answer of the store at an instant, so that the store was not away.
func (r *Replica) HeardElsewhere(at timekeeper.Millis) {
	r.heardElsewhere = max(r.heardElsewhere, at)
}

// Replace takes a whole range as read at a revision and tells whether anything changed.
func (r *Replica) Replace(items []Item, asOf uint64, now timekeeper.Millis) bool {
	if r.synced && asOf < r.asOf {
		return false
	}
	changed := !r.synced
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		changed = r.put(item) || changed
	}
	for key := range r.items {
		if !present[key] {
			changed = r.remove(Item{Key: key, Revision: asOf, Deleted: true}, now) || changed
		}
	}
	r.synced = true
	r.asOf = asOf
	// When the items that are missing now were deleted is not known.
	r.deletions = nil
	r.complete = asOf

	return changed
}

// Apply takes changes and tells whether any was news; those up to AsOf are part of the replica already.
func (r *Replica) Apply(events []Item, asOf uint64, now timekeeper.Millis) bool {
	changed := false
	for _, e := range events {
		if e.Revision <= r.asOf {
			continue
		}
		if e.Deleted {
			r.remember(e)
			changed = r.remove(e, now) || changed
		} else {
			changed = r.put(e) || changed
		}
	}
	r.asOf = max(r.asOf, asOf)

	return changed
}

// remember keeps a deletion for copies that hold only what is new.
func (r *Replica) remember(e Item) {
	r.deletions = append(r.deletions, e)
	if len(r.deletions) > maxDeletions {
		r.complete = r.deletions[0].Revision
		r.deletions = r.deletions[1:]
	}
}

func (r *Replica) put(item Item) bool {
	delete(r.doubtful, item.Key)
	r.content = max(r.content, item.Revision)
	if old, ok := r.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	r.items[item.Key] = item

	return true
}

func (r *Replica) remove(item Item, now timekeeper.Millis) bool {
	old, ok := r.items[item.Key]
	if !ok || (item.Revision != 0 && old.Revision > item.Revision) {
		return false
	}
	r.content = max(r.content, item.Revision)
	if now < r.holdUntil {
		if _, doubted := r.doubtful[item.Key]; !doubted {
			r.doubtful[item.Key] = r.holdUntil
		}

		return false
	}
	delete(r.items, item.Key)
	delete(r.doubtful, item.Key)

	return true
}

// Expire removes deleted items whose time to come back is over and tells whether there were any.
func (r *Replica) Expire(now timekeeper.Millis) bool {
	changed := false
	for key, until := range r.doubtful {
		if now < until {
			continue
		}
		delete(r.items, key)
		delete(r.doubtful, key)
		changed = true
	}

	return changed
}

// Items returns the items in the order of their keys.
func (r *Replica) Items() []Item {
	items := slices.Collect(maps.Values(r.items))
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })

	return items
}

// Copy returns the items for another process, without those that the store has deleted.
func (r *Replica) Copy() []Item {
	return slices.DeleteFunc(r.Items(), func(i Item) bool {
		_, doubted := r.doubtful[i.Key]

		return doubted
	})
}

// Since returns the changes after a revision for another process; ok is false when not all of them are known any more.
func (r *Replica) Since(revision uint64) (changes []Item, ok bool) {
	if revision < r.complete {
		return nil, false
	}
	for _, item := range r.Copy() {
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

// Get returns the item of a key.
func (r *Replica) Get(key string) (Item, bool) {
	item, ok := r.items[key]

	return item, ok
}
