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
	p.forwarder.recordLostRequest(p.choice.Endpoint.ID, p.fingerprint)
	if p.ctx.Err() == nil {
		p.forwarder.checkForCrash(p.choice.Endpoint)
	}
}

// checkForCrash finds out in the background whether an endpoint has crashed. One check runs for an endpoint at a time.
func (f *Forwarder) checkForCrash(e *cataloguer.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashChecks[e.ID] {
		return
	}
	f.crashChecks[e.ID] = true
	go func() {
		err := f.pool.CheckAlive(context.Background(), e.ID, e.Address)
		f.RecordDialError(e.ID, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.crashChecks, e.ID)
	}()
}

// RecordDialError records the crash that an error of connecting to an endpoint shows. A timeout shows none, because the
// endpoint may be cut off.
func (f *Forwarder) RecordDialError(id model.EndpointID, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.recordCrash(id)
	}
}

// recordLostRequest records a request that ended without a whole response; if the endpoint has crashed, it is a suspect.
func (f *Forwarder) recordLostRequest(id model.EndpointID, fingerprint model.Fingerprint) {
	f.mu.Lock()
	records := f.crashTracker.RecordLost(id, fingerprint, f.clock.Now())
	f.mu.Unlock()
	f.logCrashRecords(id, records)
}

// recordCrash counts the crash of an endpoint against the requests that were lost there.
func (f *Forwarder) recordCrash(id model.EndpointID) {
	f.mu.Lock()
	records := f.crashTracker.RecordCrash(id, f.clock.Now())
	f.mu.Unlock()
	if len(records) > 0 {
		endpointCrashes.Inc()
	}
	f.logCrashRecords(id, records)
}

func (f *Forwarder) logCrashRecords(id model.EndpointID, records []quarantiner.CrashRecord) {
	for _, r := range records {
		event := logger.EventRequestSuspected
		if r.Crashes >= quarantiner.GatewayQuarantineThreshold {
			event = logger.EventRequestQuarantined
		}
		f.log.Write(event, logger.String("endpoint", id),
			logger.Hex("fingerprint", uint64(r.Fingerprint)), logger.Int("crashes", r.Crashes))
	}
}

// isQuarantined reports whether a request has crashed too many endpoints, and for how long it is still refused.
func (f *Forwarder) isQuarantined(fingerprint model.Fingerprint) (bool, timekeeper.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.crashTracker.IsQuarantined(fingerprint, f.clock.Now())
}

// removeCrashRecords removes the crashes recorded for a request once an endpoint has served it.
func (f *Forwarder) removeCrashRecords(fingerprint model.Fingerprint) {
	f.mu.Lock()
	crashes := f.crashTracker.Registry.Crashes(fingerprint, f.clock.Now())
	f.crashTracker.Registry.Remove(fingerprint)
	f.mu.Unlock()
	if crashes > 0 {
		f.log.Write(logger.EventSuspectCleared, logger.Hex("fingerprint", uint64(fingerprint)), logger.Int("crashes", crashes))
	}
}
