package locator

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// PartCode stands for a part of a prompt; two parts that a fleet remembers hardly ever share one.
type PartCode uint32

// CodeOf returns the code of a part of a prompt.
func CodeOf(part uint64) PartCode {
	return PartCode(hasher.Mix(part))
}

// maxHolders is the number of endpoints remembered for a part.
const maxHolders = 3

// holder is an endpoint that has read a part.
type holder struct {
	endpoint model.EndpointID
	at       timekeeper.Millis
}

// Locator is a bounded memory of where parts of prompts are; the least recently used are forgotten.
type Locator struct {
	lifetime timekeeper.Millis
	parts    *lru.Cache[PartCode, []holder]
}

// NewLocator returns an empty memory of so many parts, each believed for a lifetime after its last use.
func NewLocator(parts int, lifetime timekeeper.Millis) *Locator {
	// The only error of lru.New is a size below one.
	cache, _ := lru.New[PartCode, []holder](max(parts, 1))

	return &Locator{lifetime: lifetime, parts: cache}
}

// Note remembers that an endpoint has read a part of a prompt and tells whether that is news.
func (l *Locator) Note(part PartCode, id model.EndpointID, now timekeeper.Millis) bool {
	known, _ := l.parts.Get(part)
	news := true
	next := make([]holder, 0, maxHolders)
	next = append(next, holder{endpoint: id, at: now})
	for _, h := range known {
		fresh := now-h.at < l.lifetime
		if h.endpoint == id {
			news = !fresh
		} else if fresh && len(next) < maxHolders {
			next = append(next, h)
		}
	}
	l.parts.Add(part, next)

	return news
}

// Holders returns the endpoints that hold a part of a prompt, the last used first.
func (l *Locator) Holders(part PartCode, now timekeeper.Millis) []model.EndpointID {
	known, _ := l.parts.Get(part)
	ids := make([]model.EndpointID, 0, len(known))
	for _, h := range known {
		if now-h.at < l.lifetime {
			ids = append(ids, h.endpoint)
		}
	}

	return ids
}
