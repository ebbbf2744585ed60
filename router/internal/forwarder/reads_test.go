package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// A burst of requests about one new session has its prompt read once, and nobody waits for another session.
func TestBurstReadsAPromptOnce(t *testing.T) {
	const burst = 20
	r := newReads()
	k := readKey{endpoint: "e", session: 7}
	read := r.begin(k)
	var early, waited atomic.Int64
	var w sync.WaitGroup
	var done atomic.Bool
	for range burst {
		w.Go(func() {
			if r.wait(t.Context(), k, timekeeper.Second) {
				waited.Add(1)
			}
			if !done.Load() {
				early.Add(1)
			}
		})
	}
	if r.wait(t.Context(), readKey{endpoint: "e", session: 8}, timekeeper.Second) {
		t.Fatal("waited for another session")
	}
	for deadline := time.Now().Add(readPatience.Duration() / 2); waited.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	done.Store(true)
	read()
	read()
	w.Wait()
	if early.Load() > 0 {
		t.Fatalf("%d requests went on before the prompt was read", early.Load())
	}
	if r.wait(t.Context(), k, timekeeper.Second) {
		t.Fatal("waited though the prompt has been read")
	}
}

func TestWaitForAReadEnds(t *testing.T) {
	r := newReads()
	k := readKey{endpoint: "e", session: 7}
	defer r.begin(k)()
	gone, leave := context.WithCancel(t.Context())
	leave()
	for name, wait := range map[string]func(){
		"the patience is over": func() { r.wait(t.Context(), k, 1) },
		"the caller has left":  func() { r.wait(gone, k, timekeeper.Second) },
	} {
		start := time.Now()
		wait()
		if took := time.Since(start); took > readPatience.Duration()/2 {
			t.Errorf("%s: waited %v", name, took)
		}
	}
}
