package forwarder

import (
	"context"
	"sync"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// readPatience is how long a request waits at most while another one has its session's prompt read.
const readPatience = 600 * timekeeper.Millis(1)

type readKey struct {
	endpoint model.EndpointID
	session  uint64
}

// reads lets requests of one session wait while an endpoint reads their shared prompt for the first of them, so that it
// is read once. It answers bursts about one session that is new at an endpoint.
type reads struct {
	mu      sync.Mutex
	pending map[readKey]chan struct{}
}

func newReads() *reads {
	return &reads{pending: map[readKey]chan struct{}{}}
}

// begin makes a request the one that the others wait for; the function that it returns lets them go on.
func (r *reads) begin(k readKey) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.pending[k]; ok {
		return func() {}
	}
	done := make(chan struct{})
	r.pending[k] = done

	return sync.OnceFunc(func() {
		r.mu.Lock()
		delete(r.pending, k)
		r.mu.Unlock()
		close(done)
	})
}

// wait returns once the prompt has been read, the context has ended or the patience is over; it tells whether it waited.
func (r *reads) wait(ctx context.Context, k readKey, most timekeeper.Millis) bool {
	r.mu.Lock()
	done, ok := r.pending[k]
	r.mu.Unlock()
	if !ok {
		return false
	}
	t := time.NewTimer(min(most, readPatience).Duration())
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}

	return true
}
