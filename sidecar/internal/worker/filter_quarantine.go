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
	// maxIsolationWait is how long other requests wait for a suspect that runs alone.
	maxIsolationWait  = timekeeper.Second
	quarantinedDetail = "the request has crashed two endpoints and is not run again; change it before you send it again"
)

// filterQuarantine runs a request alone if it was in flight when an endpoint crashed, and refuses it if this has happened
// twice. A suspect that completes is cleared; one that fails stays a suspect.
func (w *Worker) filterQuarantine(ctx context.Context, j *job, next handler) *model.Refusal {
	if refusal := w.waitForGuard(ctx, j); refusal != nil {
		return refusal
	}
	refusal := next(ctx, j)
	succeeded := refusal == nil
	w.withGuard(func(g *quarantiner.Guard) {
		if succeeded {
			g.Finish(j.fingerprint, w.clock.Now())
		} else {
			g.Abandon(j.fingerprint)
		}
		close(w.guardChanged)
		w.guardChanged = make(chan struct{})
	})

	return refusal
}

// withGuard calls use while holding the follower's lock and w.mu, which are always acquired in this order. The guard needs
// both because it updates the follower's crash records.
func (w *Worker) withGuard(use func(*quarantiner.Guard)) {
	w.follower.WithView(func(follower.View) {
		w.mu.Lock()
		defer w.mu.Unlock()
		use(w.guard)
	})
}

// waitForGuard waits until the guard admits a request. A suspect reserves the endpoint and waits until its deadline; other
// requests wait up to maxIsolationWait.
func (w *Worker) waitForGuard(ctx context.Context, j *job) *model.Refusal {
	var decision quarantiner.Decision
	var changed chan struct{}
	isSuspect := false
	w.withGuard(func(g *quarantiner.Guard) {
		decision = w.tryAdmit(g, j)
		isSuspect = g.IsSuspect(j.fingerprint, w.clock.Now())
		if decision == quarantiner.DecisionWait && isSuspect {
			g.Reserve()
		}
		changed = w.guardChanged
	})
	if decision == quarantiner.DecisionWait && isSuspect {
		defer w.withGuard(func(g *quarantiner.Guard) { g.CancelReservation() })
	}
	waitUntil := w.clock.Now() + maxIsolationWait
	if isSuspect {
		waitUntil = j.deadline
	}
	for decision == quarantiner.DecisionWait {
		if !w.waitForGuardChange(ctx, changed, waitUntil) {
			return w.refuseDuringIsolation(j)
		}
		w.withGuard(func(g *quarantiner.Guard) {
			decision = w.tryAdmit(g, j)
			changed = w.guardChanged
		})
	}
	if decision == quarantiner.DecisionRefuse {
		return w.refuseQuarantined(j)
	}

	return nil
}

func (w *Worker) tryAdmit(g *quarantiner.Guard, j *job) quarantiner.Decision {
	return g.Admit(j.fingerprint, w.clock.Now())
}

func (w *Worker) refuseQuarantined(j *job) *model.Refusal {
	var expiresIn timekeeper.Millis
	w.follower.WithView(func(v follower.View) { expiresIn = v.Suspects.QuarantinedFor(j.fingerprint, w.clock.Now()) })

	return model.NewRefusal(model.CodeRequestQuarantined, quarantinedDetail).
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(expiresIn).AsFinal()
}

// waitForGuardChange waits until changed is closed. It returns false if the time is over or the context ends first.
func (w *Worker) waitForGuardChange(ctx context.Context, changed chan struct{}, until timekeeper.Millis) bool {
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

func (w *Worker) refuseDuringIsolation(j *job) *model.Refusal {
	_, alternative := w.loadLimit(j)

	return model.NewRefusal(model.CodeSuspectWaiting, "a suspected request has the endpoint to itself").
		WithRetryAfter(timekeeper.Second).WithNextEndpoint(alternative)
}

// mergeSuspects takes in what the router knows of crashes that the request may have caused.
func (w *Worker) mergeSuspects(j *job) {
	w.follower.WithView(func(v follower.View) { v.Suspects.MergeEncoded(j.request.Suspects, w.clock.Now()) })
}

// knownCrashes returns what this sidecar knows of crashes that the request may have caused, encoded.
func (w *Worker) knownCrashes(j *job) []byte {
	var known []quarantiner.Suspicion
	w.follower.WithView(func(v follower.View) {
		known = v.Suspects.ShareOne(quarantiner.SuspectID(j.fingerprint), w.clock.Now())
	})

	return quarantiner.EncodeSuspicions(known)
}

// recordCrash counts a crash of the endpoint against every request in flight. It is called once for each crash.
func (w *Worker) recordCrash() {
	crash := quarantiner.NewCrashID(w.self, w.clock.Now())
	w.follower.WithView(func(v follower.View) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, f := range w.guard.RecordCrash(crash, w.clock.Now()) {
			crashes := v.Suspects.Crashes(quarantiner.SuspectID(f), w.clock.Now())
			event := logger.EventRequestSuspected
			if crashes >= quarantiner.QuarantineThreshold {
				event = logger.EventRequestQuarantined
			}
			w.log.Write(event, logger.Int("fingerprint", uint64(f)), logger.Int("crashes", crashes))
		}
	})
}

// announceSuspect notifies the other top candidates of a request that it may have crashed this endpoint.
func (w *Worker) announceSuspect(ctx context.Context, j *job) {
	var addresses []string
	w.follower.WithView(func(v follower.View) {
		g := v.Groups.Get(w.groupKey(j))
		topMembers, count := placer.NewPlacer(w.domain, v.LoadTable).TopMembers(g, model.ChatKey(j.request.Chat))
		for _, m := range topMembers[:count] {
			if g.Members[m].ID != w.self {
				addresses = append(addresses, v.Snapshot.Fleet.Endpoints[g.Members[m].ID].Address)
			}
		}
	})
	if known := w.knownCrashes(j); len(known) > 0 {
		w.sendSuspectNotices(ctx, addresses, known)
	}
}
