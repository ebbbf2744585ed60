package standin3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// pageItems is the number of items in a page of a range.
const pageItems = 500

// store is a stand-in for the platform's store: it answers reads of ranges and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore() (*store, error) {
	s := &store{revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()

	return s, nil
}

// put writes a value as JSON and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)

	return time.Now()
}

func (s *store) publish(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("start-after")
	s.mu.Lock()
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	hasMore := len(entries) > pageItems
	writeJSON(w, map[string]any{"entries": entries[:min(len(entries), pageItems)], "has-more": hasMore, "current-rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("start-after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := s.since(r.URL.Query().Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current-rev": revision})

			return
		}
		select {
		case <-changed:
		case <-over:
			writeJSON(w, map[string]any{"events": events, "current-rev": revision})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}

	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
