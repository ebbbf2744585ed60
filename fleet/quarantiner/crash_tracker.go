package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// blameWindow is the longest time between the loss of a request and a crash that it may have caused.
	blameWindow = 2 * timekeeper.Second
	// maxLostRequests limits the lost requests remembered for an endpoint.
	maxLostRequests = 128
	// GatewayQuarantineThreshold is the number of crashes after which a gateway refuses a request. It is higher than
	// QuarantineThreshold because a gateway cannot run suspects in isolation.
	GatewayQuarantineThreshold = 3
)

type lostRequest struct {
	fingerprint model.Fingerprint
	lostAt      timekeeper.Millis
}

// endpointLosses holds the requests that were lost at one endpoint and its latest crash.
type endpointLosses struct {
	lost []lostRequest
	// crashedAt is the time of the latest crash, blamed the requests it was counted against. They are zero and nil if there
	// was none within blameWindow.
	crashedAt timekeeper.Millis
	blamed    map[model.Fingerprint]bool
}

// CrashTracker finds out which requests may have crashed endpoints, from the requests that a gateway lost there. It is not
// safe for concurrent use.
type CrashTracker struct {
	// Registry holds the crash records of the process.
	Registry *Registry

	endpoints map[model.EndpointID]*endpointLosses
}

// NewCrashTracker returns a tracker that writes to the crash records of a process.
func NewCrashTracker(r *Registry) *CrashTracker {
	return &CrashTracker{Registry: r, endpoints: map[model.EndpointID]*endpointLosses{}}
}

// RecordLost records a request that has reached an endpoint and ended without a whole response. If the endpoint has just
// crashed, the crash is counted against the request; RecordLost returns the new crash record, or nil.
func (t *CrashTracker) RecordLost(id model.EndpointID, f model.Fingerprint, now timekeeper.Millis) []CrashRecord {
	e := t.losses(id, now)
	if e.blamed != nil {
		return t.blame(e, f, now)
	}
	if len(e.lost) >= maxLostRequests {
		e.lost = e.lost[1:]
	}
	e.lost = append(e.lost, lostRequest{fingerprint: f, lostAt: now})

	return nil
}

// RecordCrash records that an endpoint refuses connections, and counts a crash against each request lost there within
// blameWindow. It returns the new crash records.
func (t *CrashTracker) RecordCrash(id model.EndpointID, now timekeeper.Millis) []CrashRecord {
	e := t.losses(id, now)
	if len(e.lost) == 0 {
		return nil
	}
	e.crashedAt = now
	e.blamed = map[model.Fingerprint]bool{}
	var records []CrashRecord
	for _, l := range e.lost {
		records = append(records, t.blame(e, l.fingerprint, now)...)
	}
	e.lost = nil

	return records
}

// blame counts the latest crash of an endpoint against a request, once.
func (t *CrashTracker) blame(e *endpointLosses, f model.Fingerprint, now timekeeper.Millis) []CrashRecord {
	if e.blamed[f] {
		return nil
	}
	e.blamed[f] = true
	c := CrashRecord{Fingerprint: f, Crashes: t.Registry.Crashes(f, now) + 1, ExpiresIn: recordLifetime}
	t.Registry.Merge(c, now)

	return []CrashRecord{c}
}

// losses returns the losses of an endpoint within blameWindow.
func (t *CrashTracker) losses(id model.EndpointID, now timekeeper.Millis) *endpointLosses {
	e, ok := t.endpoints[id]
	if !ok {
		e = &endpointLosses{}
		t.endpoints[id] = e
	}
	for len(e.lost) > 0 && now-e.lost[0].lostAt > blameWindow {
		e.lost = e.lost[1:]
	}
	if now-e.crashedAt > blameWindow {
		e.blamed = nil
	}

	return e
}

// Expire forgets the endpoints at which nothing was lost within blameWindow.
func (t *CrashTracker) Expire(now timekeeper.Millis) {
	for id := range t.endpoints {
		if e := t.losses(id, now); len(e.lost) == 0 && e.blamed == nil {
			delete(t.endpoints, id)
		}
	}
}

// IsQuarantined reports whether a request has crashed so many endpoints that the gateway refuses it, and for how long.
func (t *CrashTracker) IsQuarantined(f model.Fingerprint, now timekeeper.Millis) (bool, timekeeper.Millis) {
	if t.Registry.Crashes(f, now) < GatewayQuarantineThreshold {
		return false, 0
	}
	_, remaining := t.Registry.IsQuarantined(f, now)

	return true, remaining
}
