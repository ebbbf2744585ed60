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

// session is what is remembered of one part of a prompt.
type session struct {
	holders []holder
	// remote is the traffic of the part's requests with endpoints of other failure domains, in bytes.
	remote int64
}

// Locator is a bounded memory of sessions; the least recently used are forgotten.
type Locator struct {
	lifetime timekeeper.Millis
	sessions *lru.Cache[uint64, *session]
}

// NewLocator returns an empty memory of so many sessions, each believed for a lifetime after its last use.
func NewLocator(sessions int, lifetime timekeeper.Millis) *Locator {
	// The only error of lru.New is a size below one.
	cache, _ := lru.New[uint64, *session](max(sessions, 1))

	return &Locator{lifetime: lifetime, sessions: cache}
}

func (l *Locator) session(part uint64) *session {
	known, ok := l.sessions.Get(part)
	if !ok {
		known = &session{}
		l.sessions.Add(part, known)
	}

	return known
}

// AddRemote adds traffic of a session with other failure domains.
func (l *Locator) AddRemote(part uint64, bytes int64) {
	l.session(part).remote += bytes
}

// Remote returns the traffic of a session with other failure domains so far, in bytes.
func (l *Locator) Remote(part uint64) int64 {
	if known, ok := l.sessions.Get(part); ok {
		return known.remote
	}

	return 0
}

// Note remembers that an endpoint has read a part of a prompt and tells whether that is news.
func (l *Locator) Note(part uint64, id model.EndpointID, now timekeeper.Millis) bool {
	known := l.session(part)
	news := true
	next := make([]holder, 0, maxHolders)
	next = append(next, holder{endpoint: id, at: now})
	for _, h := range known.holders {
		fresh := now-h.at < l.lifetime
		if h.endpoint == id {
			news = !fresh
		} else if fresh && len(next) < maxHolders {
			next = append(next, h)
		}
	}
	known.holders = next

	return news
}

// Holders returns the endpoints that hold a part of a prompt, the last used first.
func (l *Locator) Holders(part uint64, now timekeeper.Millis) []model.EndpointID {
	known, ok := l.sessions.Get(part)
	if !ok {
		return nil
	}
	ids := make([]model.EndpointID, 0, len(known.holders))
	for _, h := range known.holders {
		if now-h.at < l.lifetime {
			ids = append(ids, h.endpoint)
		}
	}

	return ids
}
