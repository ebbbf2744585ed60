package standin2

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the deletion of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store. All its doors serve the same content; each gateway has a door of its own, so that the store
// can turn one of them away and serve the others.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

func (s *store) apply(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.Created = s.items[i.Key].Created
		if i.Created == 0 {
			i.Created = i.Revision
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(item{Key: key, Value: text})
}

func (s *store) delete(key string) {
	s.apply(item{Key: key, Tombstone: true})
}

// door is a listener of the store.
type door struct {
	store  *store
	server *http.Server
	addr   string

	mu     sync.Mutex
	isDown bool
	conns  map[net.Conn]struct{}
}

func (s *store) open() *door {
	l := listen(anyPort)
	d := &door{store: s, addr: l.Addr().String(), conns: map[net.Conn]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/kv-key", d.guard(s.serveKey))
	mux.HandleFunc("/kv-range", d.guard(s.serveRange))
	mux.HandleFunc("/kv-watch", d.guard(s.serveWatch))
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()

	return d
}

// setDown makes the door answer 503 to all calls, also to those that wait, or serve again.
func (d *door) setDown(isDown bool) {
	d.mu.Lock()
	d.isDown = isDown
	d.mu.Unlock()
	d.store.mu.Lock()
	close(d.store.changed)
	d.store.changed = make(chan struct{})
	d.store.mu.Unlock()
}

func (d *door) down() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.isDown
}

type handler func(w http.ResponseWriter, r *http.Request, isDown func() bool)

func (d *door) guard(serve handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if d.down() {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		serve(w, r, d.down)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request, _ func() bool) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request, _ func() bool) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("start-after")
	s.mu.Lock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(entries) > 500
	if hasMore {
		entries = entries[:500]
	}
	writeJSON(w, map[string]any{"entries": entries, "has-more": hasMore, "current-rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, isDown func() bool) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("start-after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		isOver := len(events) > 0
		if !isOver {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		writeJSON(w, map[string]any{"events": events, "current-rev": revision})

		return
	}
}
