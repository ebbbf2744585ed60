package worker

import (
	"context"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

const (
	bystanderWait = timekeeper.Second
	condemnedNote = "the request has crashed two endpoints and is not run again; change it before you send it again"
)

// filterGuard runs a request that was in flight at a crash alone, and never runs one that crashed two endpoints.
func (w *Worker) filterGuard(ctx context.Context, j *job, next handler) *model.Refusal {
	if refusal := w.startGuarded(ctx, j); refusal != nil {
		return refusal
	}
	refusal := next(ctx, j)
	healthy := refusal == nil
	w.withGuard(func(g *quarantiner.Guard) {
		if healthy {
			g.Finish(j.fingerprint)
		} else {
			g.Abandon(j.fingerprint)
		}
		close(w.guardUp)
		w.guardUp = make(chan struct{})
	})

	return refusal
}

// withGuard runs a function on the guard under both locks, always taken in this order.
func (w *Worker) withGuard(use func(*quarantiner.Guard)) {
	w.follower.WithView(func(follower.View) {
		w.mu.Lock()
		defer w.mu.Unlock()
		use(w.guard)
	})
}

func (w *Worker) startGuarded(ctx context.Context, j *job) *model.Refusal {
	var verdict quarantiner.Decision
	var changed chan struct{}
	suspect := false
	w.withGuard(func(g *quarantiner.Guard) {
		verdict = w.tryStart(g, j)
		suspect = g.IsSuspect(j.fingerprint, w.clock.Now())
		if verdict == quarantiner.DecisionWait && suspect {
			g.Reserve()
		}
		changed = w.guardUp
	})
	if verdict == quarantiner.DecisionWait && suspect {
		defer w.withGuard(func(g *quarantiner.Guard) { g.CancelReservation() })
	}
	until := w.clock.Now() + bystanderWait
	if suspect {
		until = j.deadline
	}
	for verdict == quarantiner.DecisionWait {
		if !w.awaitGuard(ctx, changed, until) {
			return w.refuseBusyGuard(j)
		}
		w.withGuard(func(g *quarantiner.Guard) {
			verdict = w.tryStart(g, j)
			changed = w.guardUp
		})
	}
	if verdict == quarantiner.DecisionRefuse {
		return w.refuseCondemned(j)
	}

	return nil
}

func (w *Worker) tryStart(g *quarantiner.Guard, j *job) quarantiner.Decision {
	return g.Admit(j.fingerprint, w.clock.Now())
}

func (w *Worker) refuseCondemned(j *job) *model.Refusal {
	var wait timekeeper.Millis
	w.follower.WithView(func(v follower.View) { _, wait = v.Quarantine.IsQuarantined(j.fingerprint, w.clock.Now()) })

	return model.NewRefusal(model.CodeRequestQuarantined, condemnedNote).
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(wait).AsFinal()
}

func (w *Worker) awaitGuard(ctx context.Context, changed chan struct{}, until timekeeper.Millis) bool {
	timer := newTimer(until - w.clock.Now())
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (w *Worker) refuseBusyGuard(j *job) *model.Refusal {
	_, other := w.bound(j)

	return model.NewRefusal(model.CodeSuspectWaiting, "a suspected request has the endpoint to itself").
		WithRetryAfter(timekeeper.Second).WithNextEndpoint(other)
}

// learnCrashes takes on what the router knows of a request's crashes.
func (w *Worker) learnCrashes(j *job) {
	if j.request.Crashes == 0 {
		return
	}
	w.follower.WithView(func(v follower.View) {
		m := quarantiner.CrashRecord{
			Fingerprint: j.fingerprint,
			Crashes:     int(j.request.Crashes),
			ExpiresIn:   timekeeper.Minute,
		}
		v.Quarantine.Merge(m, w.clock.Now())
	})
}

// crash marks all that is in flight; the prober calls it once for each crash.
func (w *Worker) crash() {
	w.withGuard(func(g *quarantiner.Guard) {
		for _, m := range g.RecordCrash(w.clock.Now()) {
			event := logger.EventRequestSuspected
			if m.Crashes >= quarantiner.QuarantineThreshold {
				event = logger.EventRequestQuarantined
			}
			w.log.Write(event, logger.Int("fingerprint", uint64(m.Fingerprint)), logger.Int("crashes", m.Crashes))
		}
	})
}

// warn tells the next candidates of a request that it may have crashed this endpoint.
func (w *Worker) warn(ctx context.Context, j *job) {
	var addresses []string
	var mark quarantiner.CrashRecord
	w.follower.WithView(func(v follower.View) {
		mark = quarantiner.CrashRecord{
			Fingerprint: j.fingerprint,
			Crashes:     v.Quarantine.Crashes(j.fingerprint, w.clock.Now()),
			ExpiresIn:   timekeeper.Minute,
		}
		g := v.Groups.Get(w.groupKey(j))
		head, count := placer.NewPlacer(w.domain, v.LoadTable).TopMembers(g, model.ChatKey(j.request.Chat))
		for _, m := range head[:count] {
			if g.Members[m].ID != w.self {
				addresses = append(addresses, v.Snapshot.Fleet.Endpoints[g.Members[m].ID].Address)
			}
		}
	})
	if mark.Crashes > 0 {
		w.sendSuspects(ctx, addresses, mark)
	}
}
