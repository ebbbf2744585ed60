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

func newTimer(span timekeeper.Millis) *time.Timer {
	return time.NewTimer(max(span, 0).Duration())
}

// filterAdmit runs a request now, lets it wait for its turn, or turns it away at once.
func (w *Worker) filterAdmit(ctx context.Context, j *job, next handler) *model.Refusal {
	bound, other := w.bound(j)
	w.mu.Lock()
	w.ticket++
	item := admitter.Request{
		Ticket:   w.ticket,
		Account:  model.AccountID(j.request.Account),
		Priority: admitter.Priority(j.request.Priority),
		Deadline: j.deadline,
	}
	d := w.admitter.Admit(item, bound, w.clock.Now())
	var turn chan *model.Refusal
	if d.Action == admitter.ActionWait {
		turn = make(chan *model.Refusal, 1)
		w.waiting[item.Ticket] = turn
	}
	w.mu.Unlock()

	if d.Action == admitter.ActionRefuse {
		return model.NewRefusal(d.Code, "the endpoint cannot take it now").
			WithRetryAfter(d.RetryAfter).WithNextEndpoint(other)
	}
	if d.Action == admitter.ActionWait {
		if refusal := w.awaitTurn(ctx, item.Ticket, turn); refusal != nil {
			return refusal
		}
	}
	if refusal := w.checkGate(j); refusal != nil {
		w.abandonSlot()

		return refusal
	}

	return w.runAdmitted(ctx, j, next)
}

func (w *Worker) runAdmitted(ctx context.Context, j *job, next handler) *model.Refusal {
	started := w.clock.Now()
	refusal := next(ctx, j)
	sample := j.sample
	sample.ServiceTime = w.clock.Now() - started
	w.mu.Lock()
	if j.touched {
		w.admitter.Finish(sample)
	} else {
		w.admitter.Release()
	}
	w.mu.Unlock()
	w.startWaiting()

	return refusal
}

func (w *Worker) abandonSlot() {
	w.mu.Lock()
	w.admitter.Release()
	w.mu.Unlock()
	w.startWaiting()
}

func (w *Worker) awaitTurn(ctx context.Context, t admitter.Ticket, turn chan *model.Refusal) *model.Refusal {
	select {
	case refusal := <-turn:
		return refusal
	case <-ctx.Done():
	}
	w.mu.Lock()
	cancelled := w.admitter.Cancel(t)
	delete(w.waiting, t)
	if !cancelled {
		w.admitter.Release()
	}
	w.mu.Unlock()
	if !cancelled {
		w.startWaiting()
	}

	return model.NewRefusal(model.CodeDeadlineTooShort, "the caller left while waiting")
}

// startWaiting starts as many waiting requests as there is room for.
func (w *Worker) startWaiting() {
	bound := w.groupBound()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.wake(w.admitter.Expire(now), model.NewRefusal(model.CodeDeadlineTooShort, "it can no longer finish in time").
		WithRetryAfter(timekeeper.Second))
	for {
		item, ok := w.admitter.Next(bound, now)
		if !ok {
			return
		}
		w.wake([]admitter.Request{item}, nil)
	}
}

// wake tells waiting requests to start, or why not; the caller holds the lock.
func (w *Worker) wake(items []admitter.Request, refusal *model.Refusal) {
	for _, i := range items {
		if turn, ok := w.waiting[i.Ticket]; ok {
			turn <- refusal
			delete(w.waiting, i.Ticket)
		}
	}
}

// bound returns the count that the load bound allows and another endpoint to name in a refusal.
func (w *Worker) bound(j *job) (int, model.EndpointID) {
	bound := placer.DefaultLoadFloor
	var other model.EndpointID
	w.viewExact(func(v follower.View) {
		g := v.Groups.Get(w.groupKey(j))
		p := placer.NewPlacer(w.domain, v.LoadTable)
		bound = p.LoadLimit(g)
		if m := p.NextBest(g, model.ChatKey(j.request.Chat), g.IndexOf(w.self)); m != placer.NoMember {
			other = g.Members[m].ID
		}
	})

	return bound, other
}

// groupBound returns the count that the load bound allows over all endpoints of the own service.
func (w *Worker) groupBound() int {
	bound := placer.DefaultLoadFloor
	w.viewExact(func(v follower.View) {
		if v.Snapshot == nil {
			return
		}
		g := v.Groups.Get(placer.GroupKey{Service: v.Snapshot.Fleet.Endpoints[w.self].Service})
		bound = placer.NewPlacer(w.domain, v.LoadTable).LoadLimit(g)
	})

	return bound
}
