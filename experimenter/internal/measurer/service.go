package measurer

import (
	"math"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/exchanger"
)

// offer asks the sidecar of a member to take a request under a count bound.
func (w *world) offer(member int, q *request, bound int) bool {
	r := w.runners[member]
	w.tally.proposals += count(w.warm())
	if r.down {
		w.tally.refused += count(w.warm())

		return false
	}
	w.ticket++
	item := admitter.Request{Ticket: w.ticket, Account: q.account}
	d := r.admitter.Admit(item, bound, w.now)
	switch d.Action {
	case admitter.ActionRun:
		w.start(member, q)
	case admitter.ActionWait:
		r.waiting[item.Ticket] = q
	default:
		w.tally.refused += count(w.warm())

		return false
	}

	return true
}

func (w *world) start(member int, q *request) {
	r := w.runners[member]
	prefill := missPrefill
	uncached := missTokens
	_, hit := r.cache.Get(q.chat)
	if hit {
		prefill = hitPrefill
		uncached = 0
	}
	w.tally.noteTurn(q, hit)
	r.cache.Add(q.chat, struct{}{})
	if limit := r.admitter.Limiter.Limit(); r.admitter.Limiter.IsCold() && r.admitter.Running() > limit {
		r.coldOver++
	}
	w.policy.Started(w, member, q)
	span := prefill + q.decode
	sample := admitter.Sample{UncachedTokens: uncached, FirstToken: prefill, ServiceTime: span}
	w.after(span, func() { w.finish(member, r, sample) })
	w.learn(member, q.router)
}

func (w *world) finish(member int, r *runner, s admitter.Sample) {
	if w.runners[member] != r {
		return
	}
	r.admitter.Finish(s)
	for {
		item, ok := r.admitter.Next(w.bound(member), w.now)
		if !ok {
			break
		}
		q := r.waiting[item.Ticket]
		delete(r.waiting, item.Ticket)
		w.start(member, q)
	}
}

func (w *world) exact(member int) exchanger.Load {
	r := w.runners[member]
	state := exchanger.StateWarm
	if r.admitter.Limiter.IsCold() {
		state = exchanger.StateCold
	}
	if r.admitter.Waiting() > 0 {
		state = exchanger.StateFull
	}
	if r.down {
		state = exchanger.StateDown
	}

	return exchanger.Load{Running: r.admitter.Running(), State: state, ObservedAt: w.now}
}

// learn gives a router the load that rides on an answer.
func (w *world) learn(member, router int) {
	w.routers[router].table.Observe(member, w.exact(member))
}

// bound is the count that the sidecar of a member allows by its own lagging view and its exact own count.
func (w *world) bound(member int) int {
	if !w.policy.Bounded {
		return math.MaxInt
	}
	r := w.runners[member]
	r.table.Observe(member, w.exact(member))

	return r.placer.LoadLimit(w.group)
}

func (w *world) exchange(a, b *exchanger.Table) {
	if a == b {
		return
	}
	forth := a.Encode(w.now, nil)
	back := b.Encode(w.now, nil)
	w.tally.controlBytes += len(forth) + len(back) + exchangeBytes
	_ = b.Merge(forth, w.now)
	_ = a.Merge(back, w.now)
}
