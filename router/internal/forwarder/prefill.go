package forwarder

import (
	"context"
	"sync"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// maxPrefillWait bounds the time that a request waits for the prefill of another request of its session.
const maxPrefillWait = 600 * timekeeper.Millis(1)

// prefillKey identifies the prefill of a session's prompt at an endpoint.
type prefillKey struct {
	endpoint model.EndpointID
	session  uint64
}

// prefillTracker lets requests of a session wait while an endpoint prefills their shared prompt for the first of them. This
// avoids repeated prefills when a burst of requests of one session arrives at an endpoint that has not cached its prompt.
type prefillTracker struct {
	mu sync.Mutex
	// running holds a channel for each prefill; it is closed when the prefill is done.
	running map[prefillKey]chan struct{}
}

func newPrefillTracker() *prefillTracker {
	return &prefillTracker{running: map[prefillKey]chan struct{}{}}
}

// begin marks a prefill as running, so that other requests wait for it, and returns a function that releases them. The
// function may be called more than once. It does nothing if the prefill was already running for another request.
func (t *prefillTracker) begin(key prefillKey) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[key]; ok {
		return func() {}
	}
	done := make(chan struct{})
	t.running[key] = done

	return sync.OnceFunc(func() {
		t.mu.Lock()
		delete(t.running, key)
		t.mu.Unlock()
		close(done)
	})
}

// wait blocks until the prefill is done, the context is done or the shorter of maxWait and maxPrefillWait has passed. It
// returns false at once if the prefill is not running.
func (t *prefillTracker) wait(ctx context.Context, key prefillKey, maxWait timekeeper.Millis) bool {
	t.mu.Lock()
	done, ok := t.running[key]
	t.mu.Unlock()
	if !ok {
		return false
	}
	timer := time.NewTimer(min(maxWait, maxPrefillWait).Duration())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}

	return true
}
