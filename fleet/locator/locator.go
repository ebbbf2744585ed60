package locator

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// maxHolders is the number of endpoints remembered for a session.
const maxHolders = 3

// holder is an endpoint that has read the prompt of a session.
type holder struct {
	endpoint model.EndpointID
	at       timekeeper.Millis
}

// Locator is a bounded memory of sessions; the least recently used are forgotten.
type Locator struct {
	lifetime timekeeper.Millis
	sessions *lru.Cache[uint64, []holder]
}

// NewLocator returns an empty memory of so many sessions, each believed for a lifetime after its last use.
func NewLocator(sessions int, lifetime timekeeper.Millis) *Locator {
	// The only error of lru.New is a size below one.
	cache, _ := lru.New[uint64, []holder](max(sessions, 1))

	return &Locator{lifetime: lifetime, sessions: cache}
}

// Note remembers that an endpoint has read the prompt of a session and tells whether that is news.
func (l *Locator) Note(session uint64, id model.EndpointID, now timekeeper.Millis) bool {
	known, _ := l.sessions.Get(session)
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
	l.sessions.Add(session, next)

	return news
}

// Holders returns the endpoints that hold the prompt of a session, the last used first.
func (l *Locator) Holders(session uint64, now timekeeper.Millis) []model.EndpointID {
	known, _ := l.sessions.Get(session)
	ids := make([]model.EndpointID, 0, len(known))
	for _, h := range known {
		if now-h.at < l.lifetime {
			ids = append(ids, h.endpoint)
		}
	}

	return ids
}
