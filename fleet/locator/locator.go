package locator

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// PartHash is a 32-bit hash of a prompt part ID. Collisions are rare among the parts that a fleet remembers.
type PartHash uint32

// HashPart returns the hash of a prompt part ID.
func HashPart(part uint64) PartHash {
	return PartHash(hasher.Mix(part))
}

// maxHolders is the maximum number of endpoints kept per prompt part.
const maxHolders = 3

// cacheHolder is an endpoint that holds a prompt part in its prefix cache.
type cacheHolder struct {
	endpoint model.EndpointID
	lastUsed timekeeper.Millis
}

// Locator is a bounded LRU index from prompt parts to the endpoints that hold them.
type Locator struct {
	ttl           timekeeper.Millis
	holdersByPart *lru.Cache[PartHash, []cacheHolder]
	// emptyAt is when the cache of an endpoint was last known to be empty.
	emptyAt map[model.EndpointID]timekeeper.Millis
}

// NewLocator returns an empty index of at most maxParts prompt parts. An entry expires when it has not been used for ttl
// milliseconds.
func NewLocator(maxParts int, ttl timekeeper.Millis) *Locator {
	// lru.New fails only for a size below one.
	cache, _ := lru.New[PartHash, []cacheHolder](max(maxParts, 1))

	return &Locator{ttl: ttl, holdersByPart: cache, emptyAt: map[model.EndpointID]timekeeper.Millis{}}
}

// Record stores that an endpoint holds a prompt part and reports whether this is new.
func (l *Locator) Record(part PartHash, id model.EndpointID, now timekeeper.Millis) bool {
	current, _ := l.holdersByPart.Get(part)
	isNew := true
	updated := make([]cacheHolder, 0, maxHolders)
	updated = append(updated, cacheHolder{endpoint: id, lastUsed: now})
	for _, h := range current {
		isFresh := l.isFresh(h, now)
		if h.endpoint == id {
			isNew = !isFresh
		} else if isFresh && len(updated) < maxHolders {
			updated = append(updated, h)
		}
	}
	l.holdersByPart.Add(part, updated)

	return isNew
}

// RecordEmpty records that the cache of an endpoint was empty at a time: what it held before is gone. Records older than the lifetime of
// entries are dropped.
func (l *Locator) RecordEmpty(id model.EndpointID, at, now timekeeper.Millis) {
	for other, emptied := range l.emptyAt {
		if now-emptied >= l.ttl {
			delete(l.emptyAt, other)
		}
	}
	l.emptyAt[id] = max(l.emptyAt[id], at)
}

// isFresh reports whether an endpoint is expected to hold a part still.
func (l *Locator) isFresh(h cacheHolder, now timekeeper.Millis) bool {
	emptied, ok := l.emptyAt[h.endpoint]

	return now-h.lastUsed < l.ttl && (!ok || h.lastUsed > emptied)
}

// Forget removes an endpoint from the holders of a prompt part.
func (l *Locator) Forget(part PartHash, id model.EndpointID) {
	current, ok := l.holdersByPart.Peek(part)
	if !ok {
		return
	}
	l.holdersByPart.Add(part, slices.DeleteFunc(slices.Clone(current), func(h cacheHolder) bool { return h.endpoint == id }))
}

// Holders returns the endpoints that hold a prompt part, the most recently used first.
func (l *Locator) Holders(part PartHash, now timekeeper.Millis) []model.EndpointID {
	current, _ := l.holdersByPart.Get(part)
	ids := make([]model.EndpointID, 0, len(current))
	for _, h := range current {
		if l.isFresh(h, now) {
			ids = append(ids, h.endpoint)
		}
	}

	return ids
}
