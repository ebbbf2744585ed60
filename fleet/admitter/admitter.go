package admitter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	queuePerSlot     = 4
	serviceShare     = 0.1
	defaultService   = 500 * timekeeper.Millis(1)
	minRetryAfter    = 250 * timekeeper.Millis(1)
	reasonNoDeadline = timekeeper.Millis(0)
)

// Action says what becomes of an offered request.
type Action string

// The actions.
const (
	ActionRun    Action = "run"
	ActionWait   Action = "wait"
	ActionRefuse Action = "refuse"
)

// Decision is what becomes of an offered request; a refusal is always not-run.
type Decision struct {
	Action     Action
	Code       model.Code
	RetryAfter timekeeper.Millis
}

// Admitter holds the exact count of what one endpoint runs and what waits for it.
type Admitter struct {
	Limiter *Limiter

	queue   fairQueue
	running int
	service float64
}

// NewAdmitter returns an admitter of an idle, cold endpoint.
func NewAdmitter(l *Limiter) *Admitter {
	return &Admitter{Limiter: l, queue: newFairQueue(), service: float64(defaultService)}
}

// Running returns how many requests run on the endpoint.
func (a *Admitter) Running() int {
	return a.running
}

// Waiting returns how many requests wait.
func (a *Admitter) Waiting() int {
	return a.queue.length
}

// Offer decides on a new request; bound is the count that the load bound allows now.
func (a *Admitter) Offer(item Item, bound int, now timekeeper.Millis) Decision {
	if a.running >= bound {
		return a.refuse(model.CodeAboveBound, 0)
	}
	limit := a.Limiter.Limit()
	wait := timekeeper.Millis(0)
	if a.running >= limit || a.queue.length > 0 {
		wait = a.expectedWait(a.queue.ahead(item.Account, item.Priority, now), limit)
	}
	if item.Deadline != reasonNoDeadline && now+wait+a.expected(item) > item.Deadline {
		return a.refuse(model.CodeDeadline, wait)
	}
	if a.running < limit && a.queue.length == 0 {
		a.running++

		return Decision{Action: ActionRun}
	}
	if a.queue.length >= queuePerSlot*max(limit, 1) {
		return a.refuse(a.fullCode(), wait)
	}
	item.queued = now
	a.queue.push(item)

	return Decision{Action: ActionWait}
}

func (a *Admitter) fullCode() model.Code {
	if a.Limiter.Cold() {
		return model.CodeCold
	}

	return model.CodeOverloaded
}

func (a *Admitter) refuse(code model.Code, wait timekeeper.Millis) Decision {
	return Decision{Action: ActionRefuse, Code: code, RetryAfter: max(wait, minRetryAfter)}
}

func (a *Admitter) expected(item Item) timekeeper.Millis {
	if item.Expected > 0 {
		return item.Expected
	}

	return 0
}

func (a *Admitter) expectedWait(ahead, limit int) timekeeper.Millis {
	slots := float64(max(limit, 1))

	return timekeeper.Millis(a.service * float64(ahead+1) / slots)
}

// Finish notes that a running request ended.
func (a *Admitter) Finish(s Sample) {
	a.running = max(0, a.running-1)
	if !s.Failed && s.Service > 0 {
		a.service += serviceShare * (float64(s.Service) - a.service)
	}
	a.Limiter.Observe(s)
}

// Abandon gives back a slot whose request never reached the endpoint; nothing is learnt from it.
func (a *Admitter) Abandon() {
	a.running = max(0, a.running-1)
}

// Next returns a waiting request to start now, if there is room under the limit and the bound; Expire comes first.
func (a *Admitter) Next(bound int, now timekeeper.Millis) (Item, bool) {
	if a.running >= a.Limiter.Limit() || a.running >= bound {
		return Item{}, false
	}
	item, ok := a.queue.pop(now)
	if ok {
		a.running++
	}

	return item, ok
}

// Expire removes and returns the waiting requests that can no longer finish in time.
func (a *Admitter) Expire(now timekeeper.Millis) []Item {
	return a.queue.removeIf(func(i *Item) bool {
		return i.Deadline != reasonNoDeadline && now+a.expected(*i) > i.Deadline
	})
}

// Cancel removes a waiting request and tells whether it was still waiting.
func (a *Admitter) Cancel(t Ticket) bool {
	return len(a.queue.removeIf(func(i *Item) bool { return i.Ticket == t })) > 0
}

// Drain removes and returns every waiting request.
func (a *Admitter) Drain() []Item {
	return a.queue.removeIf(func(*Item) bool { return true })
}
