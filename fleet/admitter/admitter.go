package admitter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// maxQueuedPerSlot bounds the queue as a multiple of the concurrency limit.
	maxQueuedPerSlot = 4
	// serviceTimeSmoothing is the weight of a new sample in the moving average of the service time.
	serviceTimeSmoothing = 0.1
	initialServiceTime   = 500 * timekeeper.Millis(1)
	minRetryAfter        = 250 * timekeeper.Millis(1)
	noDeadline           = timekeeper.Millis(0)
)

// Action is the result of an admission decision.
type Action string

// Actions of a decision.
const (
	ActionRun    Action = "run"
	ActionWait   Action = "wait"
	ActionRefuse Action = "refuse"
)

// Decision is the result of admitting a request. A refused request has not run. RetryAfter is in milliseconds.
type Decision struct {
	Action     Action
	Code       model.Code
	RetryAfter timekeeper.Millis
}

// Admitter admits the requests of one endpoint. It holds the exact number of running requests and the queue of waiting
// ones.
type Admitter struct {
	Limiter *Limiter

	queue           *queuer.Queue
	running         int
	meanServiceTime float64
}

// NewAdmitter returns an admitter of an idle endpoint in its cold start.
func NewAdmitter(l *Limiter) *Admitter {
	return &Admitter{Limiter: l, queue: queuer.NewQueue(AgingStep), meanServiceTime: float64(initialServiceTime)}
}

// Running returns the number of requests that run on the endpoint.
func (a *Admitter) Running() int {
	return a.running
}

// Waiting returns the number of queued requests.
func (a *Admitter) Waiting() int {
	return a.queue.Len()
}

// Admit decides whether a new request runs now, waits or is refused. loadLimit is the number of running requests that
// the admission bound allows at present.
func (a *Admitter) Admit(r Request, loadLimit int, now timekeeper.Millis) Decision {
	if a.running >= loadLimit {
		return a.refuse(model.CodeAboveLoadBound, 0)
	}
	r.QueuedAt = now
	limit := a.Limiter.Limit()
	wait := timekeeper.Millis(0)
	if a.running >= limit || a.queue.Len() > 0 {
		wait = a.expectedWait(a.queue.CountAhead(&r, now), limit)
	}
	if r.Deadline != noDeadline && now+wait+a.expectedDuration(r) > r.Deadline {
		return a.refuse(model.CodeDeadlineTooShort, wait)
	}
	if a.running < limit && a.queue.Len() == 0 {
		a.running++

		return Decision{Action: ActionRun}
	}
	if a.queue.Len() >= maxQueuedPerSlot*max(limit, 1) {
		return a.refuse(a.queueFullCode(), wait)
	}
	a.queue.Push(r)

	return Decision{Action: ActionWait}
}

func (a *Admitter) queueFullCode() model.Code {
	if a.Limiter.IsCold() {
		return model.CodeEndpointCold
	}

	return model.CodeOverloaded
}

func (a *Admitter) refuse(code model.Code, wait timekeeper.Millis) Decision {
	return Decision{Action: ActionRefuse, Code: code, RetryAfter: max(wait, minRetryAfter)}
}

func (a *Admitter) expectedDuration(r Request) timekeeper.Millis {
	if r.ExpectedDuration > 0 {
		return r.ExpectedDuration
	}

	return 0
}

// expectedWait returns the time until a slot is free for a request with a number of requests ahead of it, from the mean
// service time.
func (a *Admitter) expectedWait(ahead, limit int) timekeeper.Millis {
	slots := float64(max(limit, 1))

	return timekeeper.Millis(a.meanServiceTime * float64(ahead+1) / slots)
}

// Finish records the end of a running request. Failed requests do not count towards the mean service time.
func (a *Admitter) Finish(s Sample) {
	a.running = max(0, a.running-1)
	if !s.HasFailed && s.ServiceTime > 0 {
		a.meanServiceTime += serviceTimeSmoothing * (float64(s.ServiceTime) - a.meanServiceTime)
	}
	a.Limiter.Observe(s)
}

// Release frees the slot of a request that never reached the endpoint. It leaves the limiter and the mean service time
// unchanged.
func (a *Admitter) Release() {
	a.running = max(0, a.running-1)
}

// Next removes the next request to start from the queue, if the concurrency limit and loadLimit allow one more. Call
// Expire first, since Next does not check deadlines.
func (a *Admitter) Next(loadLimit int, now timekeeper.Millis) (Request, bool) {
	if a.running >= a.Limiter.Limit() || a.running >= loadLimit {
		return Request{}, false
	}
	next, ok := a.queue.Pop(now)
	if ok {
		a.running++
	}

	return next, ok
}

// Expire removes and returns the queued requests that can no longer finish before their deadlines.
func (a *Admitter) Expire(now timekeeper.Millis) []Request {
	return a.queue.RemoveIf(func(r *Request) bool {
		return r.Deadline != noDeadline && now+a.expectedDuration(*r) > r.Deadline
	})
}

// Cancel removes a queued request and reports whether it was still in the queue.
func (a *Admitter) Cancel(t Ticket) bool {
	return len(a.queue.RemoveIf(func(r *Request) bool { return r.Ticket == t })) > 0
}

// Drain removes and returns all queued requests.
func (a *Admitter) Drain() []Request {
	return a.queue.RemoveIf(func(*Request) bool { return true })
}
