package throttler

import (
	"cmp"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/timekeeper"
)

// Request is a request that asks for room. Its times are instants; OnTimeBy and Deadline are zero if it has none.
type Request struct {
	Ticket   queuer.Ticket
	Account  model.AccountID
	Priority queuer.Priority
	// ArrivedAt is when the caller's request arrived, also if it has been sent before.
	ArrivedAt timekeeper.Millis
	// TargetLatency is the time from ArrivedAt within which the response is on time.
	TargetLatency timekeeper.Millis
	Deadline      timekeeper.Millis
	// IsRepeat is true if an endpoint has rejected the request before.
	IsRepeat bool
}

// Capacity is what a gateway knows of a service. Slots and Taken, the slots in use, are totals over the endpoints that can take requests;
// Slots is zero if it is not known.
type Capacity struct {
	Endpoints int
	Slots     int
	Taken     int
	// Spare is the number of requests that the endpoints can take before WaitingShare of their slots' number wait at each of them.
	Spare    int
	Gateways int
}

// Action is the result of a decision.
type Action string

// Actions of a decision.
const (
	ActionRun    Action = "run"
	ActionWait   Action = "wait"
	ActionRefuse Action = "refuse"
)

// Decision is what becomes of a request. RetryAfter is when a refused one can expect room.
type Decision struct {
	Action     Action
	RetryAfter timekeeper.Millis
}

// Outcome is how a request that had room has ended.
type Outcome string

// Outcomes. OutcomeUnknown says nothing of the room: the endpoint failed, or the caller has gone.
const (
	OutcomeServed   Outcome = "served"
	OutcomeRejected Outcome = "rejected"
	OutcomeUnknown  Outcome = "unknown"
)

// Changes are the waits that have ended: of requests that have got room, and of those that will get none in time.
type Changes struct {
	Started []queuer.Ticket
	Refused []Refusal
}

// Refusal is the refusal of a waiting request.
type Refusal struct {
	Ticket     queuer.Ticket
	RetryAfter timekeeper.Millis
}

// Throttler decides on the requests of one service at one gateway. It is not safe for concurrent use.
type Throttler struct {
	limit    limit
	queue    *queuer.Queue
	demand   demand
	floor    floor
	underWay underWay
	capacity Capacity
	// freePlaces is what the endpoints could take when the capacity was last observed, less the requests that have started since.
	freePlaces int
	// evicted are waiting requests that have lost their place to a request of another account.
	evicted []queuer.Request
}

// NewThrottler returns a throttler without a limit.
func NewThrottler() *Throttler {
	q := queuer.NewQueue(0)
	q.KeepsShares = true

	return &Throttler{queue: q, demand: newDemand(), floor: newFloor()}
}

// Limit returns the limit on the requests under way; it is zero while there is none.
func (t *Throttler) Limit() float64 {
	if !t.limit.isOn {
		return 0
	}

	return t.limit.value
}

// UnderWay returns the number of requests that have room.
func (t *Throttler) UnderWay() int {
	return len(t.underWay.overdueAt)
}

// Waiting returns the number of requests that wait for room.
func (t *Throttler) Waiting() int {
	return t.queue.Len()
}

// Observe takes in what the gateway knows of the service. Advance should follow, so that waiting requests go before a new one.
func (t *Throttler) Observe(c Capacity, now timekeeper.Millis) {
	t.capacity, t.freePlaces = c, t.limit.usable(c)
	t.limit.update(c, now)
}

// Arrive decides on a request. One that runs or waits must end with Finish or Cancel.
func (t *Throttler) Arrive(r Request, now timekeeper.Millis) Decision {
	q := t.waitingRequest(&r)
	if !r.IsRepeat {
		t.demand.record(r.Priority, !q.IsLate(now), now)
		t.floor.recordArrival(r.Priority, now)
	}
	if !t.limit.isOn || t.queue.Len() == 0 && t.hasRoom(r.Priority, now) {
		t.queue.Charge(&q)
		t.start(&q, now)

		return Decision{Action: ActionRun}
	}
	t.limit.recordShortage(t.demand.total(now), t.capacity, now)

	return t.waitOrRefuse(&q, now)
}

// waitingRequest returns the request as the queue holds it.
func (t *Throttler) waitingRequest(r *Request) queuer.Request {
	q := queuer.Request{
		Ticket: r.Ticket, Account: r.Account, Priority: r.Priority, Deadline: r.Deadline,
		ExpectedDuration: t.limit.expectedTime(), TargetLatency: r.TargetLatency, QueuedAt: r.ArrivedAt,
	}
	if r.TargetLatency > 0 {
		q.OnTimeUntil = max(r.ArrivedAt+r.TargetLatency-q.ExpectedDuration, 1)
	}

	return q
}

// hasRoom reports whether a request of a priority may start: the endpoints are known to take it, or the limit has room. Beside more urgent ones it
// leaves room of the limit for the next of them.
func (t *Throttler) hasRoom(p queuer.Priority, now timekeeper.Millis) bool {
	if t.freePlaces > 0 {
		return true
	}
	if t.demand.moreUrgent(p, now) < minMoreUrgent || t.floor.isStarved(p, now) {
		return t.limit.hasRoom(t.underWay.count(now), now)
	}

	return t.limit.hasSavedRoom(t.underWay.count(now), now)
}

// start counts a request as under way.
func (t *Throttler) start(r *queuer.Request, now timekeeper.Millis) {
	t.limit.recordStart(t.underWay.count(now), now)
	t.underWay.add(now, r.TargetLatency)
	t.freePlaces--
	t.floor.recordStart(r.Priority, now)
}

// Finish records that a request which had room since startedAt has ended. It took duration at the endpoint; target is its
// target latency.
func (t *Throttler) Finish(o Outcome, startedAt, duration, target, now timekeeper.Millis) {
	t.underWay.remove(startedAt, target)
	rate := t.demand.total(now)
	switch o {
	case OutcomeServed:
		t.limit.recordAnswer(answer{duration: duration, target: target}, rate, t.capacity, now)
	case OutcomeRejected:
		t.limit.recordRejection(rate, t.capacity, now)
	case OutcomeUnknown:
	}
}

// Cancel removes a waiting request and reports whether it was still waiting. One that has lost its place waits until Advance has told it.
func (t *Throttler) Cancel(ticket queuer.Ticket) bool {
	isCancelled := func(r *queuer.Request) bool { return r.Ticket == ticket }
	wasEvicted := slices.ContainsFunc(t.evicted, func(r queuer.Request) bool { return isCancelled(&r) })
	t.evicted = slices.DeleteFunc(t.evicted, func(r queuer.Request) bool { return isCancelled(&r) })

	return len(t.queue.RemoveIf(isCancelled)) > 0 || wasEvicted
}

// Advance gives the room that there is to waiting requests, and refuses those that will get none in time.
func (t *Throttler) Advance(now timekeeper.Millis) Changes {
	t.limit.update(t.capacity, now)
	var c Changes
	for t.queue.Len() > 0 && (t.freePlaces > 0 || t.limit.hasRoom(t.underWay.count(now), now)) {
		next, ok := t.next(now)
		if !ok {
			break
		}
		t.start(&next, now)
		c.Started = append(c.Started, next.Ticket)
	}
	for _, r := range append(t.evicted, t.expire(now)...) {
		c.Refused = append(c.Refused, Refusal{Ticket: r.Ticket, RetryAfter: t.retryAfter(&r, now)})
	}
	t.evicted = nil
	slices.SortFunc(c.Refused, func(a, b Refusal) int { return cmp.Compare(a.Ticket, b.Ticket) })

	return c
}

// next removes the request from the queue that is to run next.
func (t *Throttler) next(now timekeeper.Millis) (queuer.Request, bool) {
	if p, ok := t.floor.due(t.queue, now); ok {
		if r, found := t.queue.PopWhere(now, func(r *queuer.Request) bool { return r.Priority == p && !r.IsLate(now) }); found {
			t.floor.take()

			return r, true
		}
	}

	return t.queue.Pop(now)
}

// NextDue returns when Advance may have something to do without a request that ends, zero if nothing waits.
func (t *Throttler) NextDue(now timekeeper.Millis) timekeeper.Millis {
	due := timekeeper.Millis(0)
	consider := func(at timekeeper.Millis) {
		if at > now && (due == 0 || at < due) {
			due = at
		}
	}
	if t.queue.Len() == 0 {
		return 0
	}
	consider(now + maxUnattended)
	consider(t.limit.nextStart(t.underWay.count(now), now))
	t.queue.All(func(r *queuer.Request) { consider(r.OnTimeUntil + 1) })

	return due
}
