package storekeeper

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

// get sends a request to the store and returns the response and, if it has one, the decoded body.
func get(t *testing.T, s *Store, target string) (*http.Response, response) {
	t.Helper()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	var body response
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
	}

	return w.Result(), body
}

func TestRestoreLosesLaterWritesAndReusesRevisions(t *testing.T) {
	s := NewStore()
	s.Put("a", []byte("1"))
	s.Copy()
	s.Put("a", []byte("2"))
	s.Put("b", []byte("3"))
	s.Restore()

	_, read := get(t, s, "/kv-range?prefix=")
	if len(read.Entries) != 1 || string(read.Entries[0].Value) != "1" || read.Revision != 1 {
		t.Fatalf("after the restore the store holds %+v", read)
	}
	beyond, _ := get(t, s, "/kv-watch?start-after=3&wait-ms=1")
	if beyond.StatusCode != http.StatusGone || beyond.Header.Get(headerEra) != "2" {
		t.Fatalf("watch from a lost revision: status %d, era %s", beyond.StatusCode, beyond.Header.Get(headerEra))
	}
	s.Put("c", []byte("4"))
	answer, watched := get(t, s, "/kv-watch?start-after=1&wait-ms=1")
	if len(watched.Events) != 1 || watched.Events[0].Revision != 2 || answer.Header.Get(headerEra) != "2" {
		t.Fatalf("after another write: %+v, era %s", watched, answer.Header.Get(headerEra))
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
