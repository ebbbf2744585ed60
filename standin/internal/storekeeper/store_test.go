package storekeeper

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

// get sends a request to the store and returns the status, the era and, if there is one, the decoded body of the response.
func get(t *testing.T, s *Store, target string) (status int, era string, body response) {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
	}

	return w.Code, w.Header().Get(headerEra), body
}

func TestRestoreLosesLaterWritesAndReusesRevisions(t *testing.T) {
	s := NewStore()
	s.Put("a", []byte("1"))
	s.Copy()
	s.Put("a", []byte("2"))
	s.Put("b", []byte("3"))
	s.Restore()

	_, _, read := get(t, s, "/kv-range?prefix=")
	if len(read.Entries) != 1 || string(read.Entries[0].Value) != "1" || read.Revision != 1 {
		t.Fatalf("after the restore the store holds %+v", read)
	}
	status, era, _ := get(t, s, "/kv-watch?start-after=3&wait-ms=1")
	if status != http.StatusGone || era != "2" {
		t.Fatalf("watch from a lost revision: status %d, era %s", status, era)
	}
	s.Put("c", []byte("4"))
	_, era, watched := get(t, s, "/kv-watch?start-after=1&wait-ms=1")
	if len(watched.Events) != 1 || watched.Events[0].Revision != 2 || era != "2" {
		t.Fatalf("after another write: %+v, era %s", watched, era)
	}
}

func TestRestoreWakesWatchOfLostRevision(t *testing.T) {
	s := NewStore()
	s.Copy()
	s.Put("a", nil)
	status := make(chan int)
	go func() {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/kv-watch?start-after=1&wait-ms=10000", nil))
		status <- w.Code
	}()
	for isWaiting := false; !isWaiting; {
		s.mu.Lock()
		isWaiting = s.readerCalls == 1
		s.mu.Unlock()
	}
	s.Restore()
	if got := <-status; got != http.StatusGone {
		t.Fatalf("status %d, want 410", got)
	}
}
