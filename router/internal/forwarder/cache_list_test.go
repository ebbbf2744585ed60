package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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
