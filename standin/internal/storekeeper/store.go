package storekeeper

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// pageSize is the number of items of a page.
const pageSize = 50

// Item is one entry as it goes over the wire.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Faults are the switches of the stand-in.
type Faults struct {
	// Status is answered to every reader in place of the data, zero for none.
	Status int `json:"status"`
	// Silent leaves every reader without an answer.
	Silent bool `json:"silent"`
	// Deaf keeps the watches that wait, and those that begin, from hearing anything until their time is over.
	Deaf bool `json:"deaf"`
	// Reset breaks every reader's connection.
	Reset bool `json:"reset"`
}

type page struct {
	Entries  []Item `json:"entries,omitempty"`
	Events   []Item `json:"events,omitempty"`
	HasMore  bool   `json:"has-more"`
	Revision uint64 `json:"current-rev"`
}

// Store is a stand-in for the platform's store.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	revision uint64
	// compacted is the revision up to which the history is gone.
	compacted uint64
	faults    Faults
	// calls counts the calls of readers.
	calls   int
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, changed: make(chan struct{})}
}

// Handler returns the pages of the stand-in: three for readers, the others for whoever runs it.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.faulty(s.key))
	mux.HandleFunc("GET /kv-range", s.faulty(s.rangeOf))
	mux.HandleFunc("GET /kv-watch", s.faulty(s.watch))
	mux.HandleFunc("PUT /items/{key...}", s.put)
	mux.HandleFunc("DELETE /items/{key...}", s.delete)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /calls", s.countCalls)
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { s.Compact() })

	return mux
}

func (s *Store) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls++
		s.mu.Unlock()
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.Reset:
			panic(http.ErrAbortHandler)
		case f.Status != 0:
			w.WriteHeader(f.Status)
		default:
			next(w, r)
		}
	}
}

// countCalls tells how many calls of readers there have been.
func (s *Store) countCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	n := s.calls
	s.mu.Unlock()
	// A broken connection is the reader's to notice.
	_, _ = fmt.Fprint(w, n)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	send(w, item)
}

func (s *Store) rangeOf(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("start-after")
	s.mu.Lock()
	p := page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Entries = append(p.Entries, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Entries, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Entries) > pageSize {
		p.Entries, p.HasMore = p.Entries[:pageSize], true
	}
	send(w, p)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("start-after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	deadline := time.After(timekeeper.Millis(wait).Duration())
	deaf := false
	for {
		s.mu.Lock()
		deaf = deaf || s.faults.Deaf
		s.mu.Unlock()
		if deaf {
			<-r.Context().Done()

			return
		}
		p, gone, changed := s.since(q.Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)

			return
		}
		if len(p.Events) > 0 {
			send(w, p)

			return
		}
		select {
		case <-changed:
		case <-deadline:
			send(w, p)

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			p.Events = append(p.Events, e)
		}
	}

	return p, after < s.compacted, s.changed
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision}
	s.items[key] = item
	s.tell(item)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.tell(Item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) tell(e Item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact forgets the history and cuts no watch.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
}

// SetFaults switches faults on and off.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.Put(r.PathValue("key"), value)
}

func (s *Store) delete(_ http.ResponseWriter, r *http.Request) {
	s.Delete(r.PathValue("key"))
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.SetFaults(f)
}

func send(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that has left does not need the rest.
	_ = json.NewEncoder(w).Encode(v)
}
