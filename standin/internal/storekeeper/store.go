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

// pageSize is the maximum number of items in a range response.
const pageSize = 50

// headerEra carries the era of the store in every answer.
const headerEra = "Store-Era"

// Item is an entry or a change event of the store in its JSON form. A deletion is an event with Tombstone set.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type response struct {
	Entries  []Item `json:"entries,omitempty"`
	Events   []Item `json:"events,omitempty"`
	HasMore  bool   `json:"has-more"`
	Revision uint64 `json:"current-rev"`
	// era is the store's era when the response was made.
	era uint64
	// hasOddItems adds items that cannot be read.
	hasOddItems bool
}

// Store is a stand-in for the platform's key-value store.
type Store struct {
	mu sync.Mutex
	content
	// copied is what Restore brings back.
	copied content
	// era is the number of times that the store was restored, plus one.
	era    uint64
	faults Faults
	// readerCalls counts the read requests.
	readerCalls int
	// changed is closed and replaced when an item or the faults change.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{content: newContent(), copied: newContent(), era: 1, changed: make(chan struct{})}
}

// Handler returns the HTTP handler of the store. The /kv- paths are the store's read API; the others control the stand-in.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.withFaults(s.handleKey))
	mux.HandleFunc("GET /kv-range", s.withFaults(s.handleRange))
	mux.HandleFunc("GET /kv-watch", s.withFaults(s.handleWatch))
	mux.HandleFunc("PUT /items/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /items/{key...}", s.handleDelete)
	mux.HandleFunc("PUT /faults", s.handleFaults)
	mux.HandleFunc("GET /calls", s.handleCallCount)
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) { s.Copy() })
	mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) { s.Restore() })

	return mux
}

// withFaults counts the request and injects the current faults, except HangWatches, before it calls next.
func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.readerCalls++
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		switch {
		case f.HangRequests:
			<-r.Context().Done()
		case f.ResetConnections:
			panic(http.ErrAbortHandler)
		case f.ErrorStatus != 0:
			w.WriteHeader(f.ErrorStatus)
		default:
			next(w, r)
		}
	}
}

// handleCallCount writes the number of read requests so far.
func (s *Store) handleCallCount(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	n := s.readerCalls
	s.mu.Unlock()
	// A write error means that the client has disconnected.
	_, _ = fmt.Fprint(w, n)
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	writeJSON(w, item)
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, afterKey := r.URL.Query().Get("prefix"), r.URL.Query().Get("start-after")
	s.mu.Lock()
	result := response{Revision: s.revision, era: s.era, hasOddItems: s.faults.AddOddItems}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			result.Entries = append(result.Entries, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(result.Entries, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(result.Entries) > pageSize {
		result.Entries, result.HasMore = result.Entries[:pageSize], true
	}
	writeResponse(w, result)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	afterRevision, _ := strconv.ParseUint(q.Get("start-after"), 10, 64)
	timeoutMS, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	deadline := time.After(timekeeper.Millis(timeoutMS).Duration())
	isHung := false
	for {
		s.mu.Lock()
		isHung = isHung || s.faults.HangWatches
		s.mu.Unlock()
		if isHung {
			<-r.Context().Done()

			return
		}
		result, isGone, changed := s.eventsSince(q.Get("prefix"), afterRevision)
		if isGone {
			w.Header().Set(headerEra, strconv.FormatUint(result.era, 10))
			w.WriteHeader(http.StatusGone)

			return
		}
		if len(result.Events) > 0 {
			writeResponse(w, result)

			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeResponse(w, result)

			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events of a prefix after a revision, whether the store does not have that history, and a channel
// that is closed at the next change.
func (s *Store) eventsSince(prefix string, afterRevision uint64) (response, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := response{Revision: s.revision, era: s.era, hasOddItems: s.faults.AddOddItems}
	for _, e := range s.events {
		if e.Revision > afterRevision && strings.HasPrefix(e.Key, prefix) {
			result.Events = append(result.Events, e)
		}
	}

	isGone := s.faults.ForgetHistory || afterRevision < s.compactedRevision || afterRevision > s.revision

	return result, isGone, s.changed
}

// Put writes an item at the next revision.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision}
	s.items[key] = item
	s.appendEvent(item)
}

// Delete removes an item at the next revision and records a tombstone event.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.appendEvent(Item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) appendEvent(e Item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact removes the history of events. It does not wake waiting watches. A watch from an older revision gets status 410
// when it next reads the events.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compactedRevision = s.revision
}

// Copy keeps the items, the history and the revision for Restore.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.clone()
}

// Restore brings back what the last Copy kept, so that everything written since is lost and its revisions are used again. It
// raises the era by one and wakes waiting watches.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = s.copied.clone()
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.Put(r.PathValue("key"), value)
}

func (s *Store) handleDelete(_ http.ResponseWriter, r *http.Request) {
	s.Delete(r.PathValue("key"))
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	s.SetFaults(f)
}

// writeResponse writes a response with the era in which it was made.
func writeResponse(w http.ResponseWriter, r response) {
	w.Header().Set(headerEra, strconv.FormatUint(r.era, 10))
	if r.hasOddItems {
		writeJSON(w, r.withOddItems())

		return
	}
	writeJSON(w, r)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
