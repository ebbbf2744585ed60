package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/connector"
)

// Guards against many broken streams that keep endpoints busy with lists.
func TestCacheListsAreSharedAndBounded(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = fmt.Fprint(w, `{"held": [["", "a", 7, "m"]]}`)
	}))
	defer server.Close()
	clock := timekeeper.NewManualClock(timekeeper.Hour)
	pool := connector.NewPool(connector.Timeouts{DialTimeout: timekeeper.Second, AckTimeout: timekeeper.Second}, clock.Clock())
	lists := newCacheLists(pool, clock.Clock())
	endpoint := func(n int) *cataloguer.Endpoint {
		return &cataloguer.Endpoint{ID: model.EndpointID(fmt.Sprint(n)), Address: strings.TrimPrefix(server.URL, "http://")}
	}
	key := cachedPartKey{id: 0xa, model: "m"}
	for range 10 {
		if kept, err := lists.kept(t.Context(), endpoint(0), key, timekeeper.Hour); kept != 7 || err != nil {
			t.Fatalf("%d tokens are kept: %v", kept, err)
		}
	}
	if calls.Load() != 1 {
		t.Fatalf("%d lists of one endpoint", calls.Load())
	}
	clock.Advance(timekeeper.Second)
	if kept, err := lists.kept(t.Context(), endpoint(0), key, timekeeper.Second); kept != 7 || err != nil || calls.Load() != 2 {
		t.Fatalf("%d lists where one was older than asked for: %v", calls.Load(), err)
	}
	for n := range maxCacheLists + 10 {
		_, err := lists.kept(t.Context(), endpoint(n), key, timekeeper.Hour)
		if isTooMany := errors.Is(err, errTooManyLists); isTooMany != (n >= maxCacheLists) {
			t.Fatalf("list %d: %v", n, err)
		}
	}
	clock.Advance(cacheListLifetime)
	lists.expire()
	if kept, err := lists.kept(t.Context(), endpoint(maxCacheLists), key, timekeeper.Hour); kept != 7 || err != nil {
		t.Errorf("later, %d tokens are kept: %v", kept, err)
	}
}

// Guards against the late answer to another request that is taken for the list of an endpoint, while the list itself becomes the answer to the
// next request on the connection.
func TestAnswerThatIsNoListTakesItsConnectionAlong(t *testing.T) {
	const list = `{"held": [["", "a", 7, "m"]]}`
	ok := func(head, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	extras := map[string]string{
		"text":                      ok(signedHead, "ok"),
		"a list of another request": ok(signedHead, list),
		"text without an ID":        ok("", "ok"),
		"an object without a list":  ok("", "{}"),
		"a list with an odd count":  ok("", `{"held": [["", "a", 1e300, "m"]]}`),
		"a failure":                 "HTTP/1.1 500 E\r\n" + signedHead + "Content-Length: 0\r\n\r\n",
		"a status that is none":     "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"a blank in a field's name": ok("X A: v\r\n", list),
	}
	for name, extra := range extras {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(listenWithAnswers(t, false, testResponse, extra, okAnswer))
			if w, _ := serve(f, "a"); w.Code != http.StatusOK {
				t.Fatalf("first request: status %d", w.Code)
			}
			endpoint := f.CurrentView().Endpoint("e")
			key := cachedPartKey{id: 0xa, model: "m"}
			if kept, err := f.cacheLists.kept(t.Context(), endpoint, key, timekeeper.Hour); err == nil {
				t.Errorf("%d tokens are kept, by an answer that is no list", kept)
			}
			conn, err := f.pool.Get(t.Context(), endpoint.ID, endpoint.Address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if conn.IsReused {
				t.Error("the connection carries the next request")
			}
		})
	}
}

// Guards against lists without end, or very long ones, that take the memory of the gateway when it asks many endpoints at once.
func TestLongCacheListsTakeBoundedMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	entries := `{"held": [` + strings.Repeat(`["", "5c1e07a2", 800, "m"],`, 140_000)
	whole := listenAndAnswer(t, head+"Connection: close\r\n\r\n"+entries+`["", "a", 7, "m"]]}`)
	addresses := map[string]string{
		"bytes without end":   listenEndless(t, head+"\r\n"),
		"entries without end": listenEndless(t, head+"\r\n"+entries),
		"head without end":    listenEndless(t, head+"A: "),
		"whole lists":         whole,
	}
	// Gateways collect garbage before they reach their memory.
	previous := debug.SetMemoryLimit(targetMemory * 7 / 10)
	defer debug.SetMemoryLimit(previous)
	for name, address := range addresses {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder("")
			peak := watchHeap(t)
			var group sync.WaitGroup
			for n := range askedEndpoints {
				group.Go(func() {
					e := &cataloguer.Endpoint{ID: model.EndpointID(fmt.Sprint(n)), Address: address}
					kept, err := f.cacheLists.kept(t.Context(), e, cachedPartKey{id: 0xa, model: "m"}, timekeeper.Hour)
					if err == nil && (kept != 7 || address != whole) {
						t.Errorf("%d tokens are kept, by a list without end", kept)
					}
				})
			}
			group.Wait()
			if n := peak(); n > targetMemory {
				t.Errorf("%d MB of heap, want at most %d", n>>20, targetMemory>>20)
			}
		})
	}
}
