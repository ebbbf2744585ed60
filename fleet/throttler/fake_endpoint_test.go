package throttler

import (
	"math/rand/v2"
	"slices"

	"cardamompulley/fleet/timekeeper"
)

// fakeEndpoint runs requests in its slots, queues a few and rejects the others.
type fakeEndpoint struct {
	slots, queueLength int
	// slowdown multiplies the time of work.
	slowdown float64
	isLost   bool
	running  []*fakeRequest
	queue    []*fakeRequest
	arrivals int
	random   *rand.Rand
}

const (
	workTime       = 60
	workTimeSpread = 20
)

func newFakeEndpoint(queueLength int, random *rand.Rand) *fakeEndpoint {
	return &fakeEndpoint{slots: 6, queueLength: queueLength, slowdown: 1, random: random}
}

func (e *fakeEndpoint) load() int {
	return len(e.running) + len(e.queue)
}

// arrive reports whether the endpoint takes a request.
func (e *fakeEndpoint) arrive(r *fakeRequest, now timekeeper.Millis) bool {
	e.arrivals++
	switch {
	case len(e.running) < e.slots:
		e.run(r, now)
	case len(e.queue) < e.queueLength:
		e.queue = append(e.queue, r)
	default:
		return false
	}

	return true
}

func (e *fakeEndpoint) run(r *fakeRequest, now timekeeper.Millis) {
	work := workTime + workTimeSpread*(2*e.random.Float64()-1)
	r.endsAt = now + timekeeper.Millis(e.slowdown*work)
	e.running = append(e.running, r)
}

// finish returns the requests whose work has ended.
func (e *fakeEndpoint) finish(now timekeeper.Millis) []*fakeRequest {
	var finished []*fakeRequest
	e.running = slices.DeleteFunc(e.running, func(r *fakeRequest) bool {
		if r.endsAt <= now {
			finished = append(finished, r)
		}

		return r.endsAt <= now
	})
	for len(e.queue) > 0 && len(e.running) < e.slots {
		e.run(e.queue[0], now)
		e.queue = e.queue[1:]
	}

	return finished
}

// lose ends the endpoint and returns the requests that it held.
func (e *fakeEndpoint) lose() []*fakeRequest {
	held := append(e.running, e.queue...)
	e.isLost, e.running, e.queue = true, nil, nil

	return held
}
