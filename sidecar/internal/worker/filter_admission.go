package worker

import (
	"context"
	"time"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/timekeeper"
)

func newTimer(duration timekeeper.Millis) *time.Timer {
	return time.NewTimer(max(duration, 0).Duration())
}

// filterAdmission admits a request at once, queues it or refuses it. The availability is checked again after admission,
// because it may have changed while the request waited.
func (w *Worker) filterAdmission(ctx context.Context, j *job, next handler) *model.Refusal {
	loadLimit, alternative := w.loadLimit(j)
	w.mu.Lock()
	w.lastTicket++
	request := admitter.Request{
		Ticket:   w.lastTicket,
		Account:  model.AccountID(j.request.Account),
		Priority: admitter.Priority(j.request.Priority),
		Deadline: j.deadline,
	}
	decision := w.admitter.Admit(request, loadLimit, w.clock.Now())
	var admitted chan *model.Refusal
	if decision.Action == admitter.ActionWait {
		admitted = make(chan *model.Refusal, 1)
		w.waiters[request.Ticket] = admitted
	}
	w.mu.Unlock()

	if decision.Action == admitter.ActionRefuse {
		return model.NewRefusal(decision.Code, "the endpoint cannot take it now").
			WithRetryAfter(decision.RetryAfter).WithNextEndpoint(alternative)
	}
	if decision.Action == admitter.ActionWait {
		if refusal := w.waitForAdmission(ctx, request.Ticket, admitted); refusal != nil {
			return refusal
		}
	}
	if refusal := w.checkAvailability(j); refusal != nil {
		w.releaseSlot()

		return refusal
	}

	return w.runAdmitted(ctx, j, next)
}

// runAdmitted runs an admitted request, then releases its slot and admits waiting requests. The latencies of the request are
// reported to the admitter only if the endpoint received it.
func (w *Worker) runAdmitted(ctx context.Context, j *job, next handler) *model.Refusal {
	startedAt := w.clock.Now()
	refusal := next(ctx, j)
	sample := j.sample
	sample.ServiceTime = w.clock.Now() - startedAt
	w.mu.Lock()
	if j.reachedEndpoint {
		w.admitter.Finish(sample)
	} else {
		w.admitter.Release()
	}
	w.mu.Unlock()
	w.admitWaiting()

	return refusal
}

// releaseSlot releases the slot of an admitted request that did not run.
func (w *Worker) releaseSlot() {
	w.mu.Lock()
	w.admitter.Release()
	w.mu.Unlock()
	w.admitWaiting()
}

// waitForAdmission waits until a queued request is admitted or refused. If the context ends first, the request leaves the
// queue, or releases a slot if it is not in the queue any more.
func (w *Worker) waitForAdmission(ctx context.Context, t admitter.Ticket, admitted chan *model.Refusal) *model.Refusal {
	select {
	case refusal := <-admitted:
		return refusal
	case <-ctx.Done():
	}
	w.mu.Lock()
	wasQueued := w.admitter.Cancel(t)
	delete(w.waiters, t)
	if !wasQueued {
		w.admitter.Release()
	}
	w.mu.Unlock()
	if !wasQueued {
		w.admitWaiting()
	}

	return model.NewRefusal(model.CodeDeadlineTooShort, "the caller left while waiting")
}

// admitWaiting refuses the queued requests that would miss their deadlines and admits as many others as the limits allow.
func (w *Worker) admitWaiting() {
	loadLimit := w.serviceLoadLimit()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.notifyWaiters(w.admitter.Expire(now), model.NewRefusal(model.CodeDeadlineTooShort, "it can no longer finish in time").
		WithRetryAfter(timekeeper.Second))
	for {
		request, ok := w.admitter.Next(loadLimit, now)
		if !ok {
			return
		}
		w.notifyWaiters([]admitter.Request{request}, nil)
	}
}

// notifyWaiters sends the refusal, or nil for admission, to waiting requests. w.mu must be held.
func (w *Worker) notifyWaiters(requests []admitter.Request, refusal *model.Refusal) {
	for _, r := range requests {
		if admitted, ok := w.waiters[r.Ticket]; ok {
			admitted <- refusal
			delete(w.waiters, r.Ticket)
		}
	}
}

// loadLimit returns the number of running requests at which the load bound refuses a request, and the endpoint to name in
// the refusal.
func (w *Worker) loadLimit(j *job) (int, model.EndpointID) {
	limit := placer.DefaultLoadFloor
	var alternative model.EndpointID
	w.withCurrentLoad(func(v follower.View) {
		g := v.Groups.Get(w.groupKey(j))
		p := placer.NewPlacer(w.domain, v.LoadTable)
		limit = p.LoadLimit(g)
		if m := p.NextBest(g, model.ChatKey(j.request.Chat), g.IndexOf(w.self)); m != placer.NoMember {
			alternative = g.Members[m].ID
		}
	})

	return limit, alternative
}

// serviceLoadLimit returns the limit of running requests by the load bound over all endpoints of this endpoint's service.
func (w *Worker) serviceLoadLimit() int {
	limit := placer.DefaultLoadFloor
	w.withCurrentLoad(func(v follower.View) {
		if v.Snapshot == nil {
			return
		}
		g := v.Groups.Get(placer.GroupKey{Service: v.Snapshot.Fleet.Endpoints[w.self].Service})
		limit = placer.NewPlacer(w.domain, v.LoadTable).LoadLimit(g)
	})

	return limit
}
