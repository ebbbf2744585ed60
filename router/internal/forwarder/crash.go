package forwarder

import (
	"context"
	"errors"
	"syscall"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

// recordUnanswered makes the request a suspect if its attempt has reached an endpoint and has ended without a whole response,
// and checks whether the endpoint has crashed. A caller that disconnected says nothing about the endpoint, so that is not
// checked then.
func (p *proxiedRequest) recordUnanswered() {
	if !p.hasReached || p.isAnswered {
		return
	}
	p.forwarder.recordLostRequest(p.choice.Endpoint, p.suspects)
	if p.ctx.Err() != nil {
		return
	}
	if p.isServedUnframed {
		go p.forwarder.clearIfAlive(p.choice.Endpoint, p.suspects)
	} else if p.forwarder.startCrashCheck(p.choice.Endpoint.ID) {
		go p.forwarder.checkForCrash(p.choice.Endpoint)
	}
}

// crashCheck is a running check of an endpoint.
type crashCheck struct {
	// isOutdated is true if another request was lost since the check has begun.
	isOutdated bool
}

// startCrashCheck reports whether a check of an endpoint has to be started. A check that is running is repeated at its end.
func (f *Forwarder) startCrashCheck(id model.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if check, ok := f.crashChecks[id]; ok {
		check.isOutdated = true

		return false
	}
	f.crashChecks[id] = &crashCheck{}

	return true
}

// finishCrashCheck ends a check, or returns false if it has to be repeated.
func (f *Forwarder) finishCrashCheck(id model.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashChecks[id].isOutdated {
		f.crashChecks[id].isOutdated = false

		return false
	}
	delete(f.crashChecks, id)

	return true
}

// checkForCrash finds out whether an endpoint has crashed.
func (f *Forwarder) checkForCrash(e *cataloguer.Endpoint) {
	for {
		f.RecordDialError(e, f.pool.CheckAlive(context.Background(), e.ID, e.Address))
		if f.finishCrashCheck(e.ID) {
			return
		}
	}
}

// clearIfAlive clears suspects that an endpoint has answered, unless the endpoint has crashed at the end of the answer.
func (f *Forwarder) clearIfAlive(e *cataloguer.Endpoint, suspects []quarantiner.Suspect) {
	err := f.pool.CheckAlive(context.Background(), e.ID, e.Address)
	f.RecordDialError(e, err)
	if err == nil {
		f.clearSuspects(suspects)
	}
}

// RecordDialError records the crash that an error of connecting to an endpoint shows. A timeout shows none, because the
// endpoint may be cut off.
func (f *Forwarder) RecordDialError(e *cataloguer.Endpoint, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.recordCrash(e)
	}
}

// crashID identifies the crash that an endpoint's process ends with.
func crashID(e *cataloguer.Endpoint) quarantiner.CrashID {
	return quarantiner.NewCrashID(e.ID, e.StartedAt)
}

// recordLostRequest records a request that ended without a whole response; if the endpoint has crashed, it is a suspect.
func (f *Forwarder) recordLostRequest(e *cataloguer.Endpoint, suspects []quarantiner.Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	blamed := f.crashTracker.RecordLost(crashID(e), suspects, f.clock.Now())
	f.logBlamed(logger.String("endpoint", e.ID), blamed)
}

// recordCrash counts the crash of an endpoint against the requests that were lost there.
func (f *Forwarder) recordCrash(e *cataloguer.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RecordEnd(e.Process(), f.clock.Now())
	blamed := f.crashTracker.RecordCrash(crashID(e), f.clock.Now())
	if len(blamed) > 0 {
		endpointCrashes.Inc()
	}
	f.logBlamed(logger.String("endpoint", e.ID), blamed)
}

// logBlamed logs the suspects that a crash was counted against; source names the endpoint, or the gateway that has seen the crash.
// f.mu must be held.
func (f *Forwarder) logBlamed(source logger.Field, blamed []quarantiner.Suspect) {
	for _, s := range blamed {
		crashes := f.crashTracker.Counted(s, f.clock.Now())
		event := logger.EventRequestSuspected
		if crashes >= s.Threshold() {
			event = logger.EventRequestQuarantined
		}
		f.log.Write(event, source, logger.String("kind", s.Kind),
			logger.Hex("suspect", uint64(s.ID)), logger.Int("crashes", crashes))
	}
}

// quarantinedSuspect returns the first of a request's suspects that has crashed too many endpoints, and after how long the
// caller may come again. It returns false if none has.
func (f *Forwarder) quarantinedSuspect(suspects []quarantiner.Suspect) (quarantiner.Suspect, timekeeper.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range suspects {
		if isQuarantined, retryAfter := f.crashTracker.IsQuarantined(s, f.clock.Now()); isQuarantined {
			return s, retryAfter, true
		}
	}

	return quarantiner.Suspect{}, 0, false
}

// clearSuspects clears the suspects of a request that an endpoint has answered in whole.
func (f *Forwarder) clearSuspects(suspects []quarantiner.Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range suspects {
		if crashes := f.crashTracker.Suspects.RecordAnswer(s.ID, f.clock.Now()); crashes > 0 {
			f.log.Write(logger.EventSuspectCleared, logger.String("kind", s.Kind),
				logger.Hex("suspect", uint64(s.ID)), logger.Int("crashes", crashes))
		}
	}
}

// RecordExchange records the end of an exchange with another gateway.
func (f *Forwarder) RecordExchange(succeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashTracker.Reach.RecordExchange(succeeded, f.clock.Now())
}

// SharedSuspects returns what to tell another gateway of suspects, in at most maxBytes.
func (f *Forwarder) SharedSuspects(maxBytes int) []quarantiner.Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.crashTracker.Suspects.Share(maxBytes, f.clock.Now())
}

// MergeSuspects takes in what another gateway tells of suspects.
func (f *Forwarder) MergeSuspects(gateway string, suspicions []quarantiner.Suspicion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, s := range suspicions {
		hasChanged, blamed := f.crashTracker.Merge(s, now)
		f.logBlamed(logger.String("gateway", gateway), blamed)
		if !hasChanged {
			continue
		}
		event := logger.EventSuspectLearned
		if len(s.Crashes) == 0 {
			event = logger.EventSuspectCleared
		}
		f.log.Write(event, logger.String("gateway", gateway),
			logger.Hex("suspect", uint64(s.Suspect)), logger.Int("crashes", f.crashTracker.Suspects.Crashes(s.Suspect, now)))
	}
}
