package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// In a burst of requests of a new session, all but the first wait for the first one's prefill. Requests of other sessions do
// not wait.
func TestBurstPrefillsPromptOnce(t *testing.T) {
	const burst = 20
	tracker := newPrefillTracker()
	key := prefillKey{endpoint: "e", session: 7}
	finish := tracker.begin(key)
	var early, waited atomic.Int64
	var group sync.WaitGroup
	var done atomic.Bool
	for range burst {
		group.Go(func() {
			if tracker.wait(t.Context(), key, timekeeper.Second) {
				waited.Add(1)
			}
			if !done.Load() {
				early.Add(1)
			}
		})
	}
	if tracker.wait(t.Context(), prefillKey{endpoint: "e", session: 8}, timekeeper.Second) {
		t.Fatal("waited for the prefill of another session")
	}
	for deadline := time.Now().Add(maxPrefillWait.Duration() / 2); waited.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	done.Store(true)
	finish()
	finish()
	group.Wait()
	if early.Load() > 0 {
		t.Fatalf("%d requests returned before the prefill was done", early.Load())
	}
	if tracker.wait(t.Context(), key, timekeeper.Second) {
		t.Fatal("waited although the prefill was done")
	}
}

func TestPrefillWaitEnds(t *testing.T) {
	tracker := newPrefillTracker()
	key := prefillKey{endpoint: "e", session: 7}
	defer tracker.begin(key)()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, wait := range map[string]func(){
		"maximum wait over":   func() { tracker.wait(t.Context(), key, 1) },
		"caller disconnected": func() { tracker.wait(canceled, key, timekeeper.Second) },
	} {
		start := time.Now()
		wait()
		if elapsed := time.Since(start); elapsed > maxPrefillWait.Duration()/2 {
			t.Errorf("%s: waited %v", name, elapsed)
		}
	}
}
