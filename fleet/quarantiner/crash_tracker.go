package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// blameWindow is the longest time between the loss of a request and the detection of a crash that it may have caused.
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

// CrashTracker finds out which requests may have crashed endpoints, from the connections that a gateway lost. It is not safe
// for concurrent use.
type CrashTracker struct {
	// Registry holds the crash records of the process.
	Registry *Registry

	lost map[model.EndpointID][]lostRequest
}

// NewCrashTracker returns a tracker that writes to the crash records of a process.
func NewCrashTracker(r *Registry) *CrashTracker {
	return &CrashTracker{Registry: r, lost: map[model.EndpointID][]lostRequest{}}
}

// RecordLost records a request whose connection to an endpoint broke before the response.
func (t *CrashTracker) RecordLost(id model.EndpointID, f model.Fingerprint, now timekeeper.Millis) {
	lost := t.lost[id]
	for len(lost) > 0 && (now-lost[0].lostAt > blameWindow || len(lost) >= maxLostRequests) {
		lost = lost[1:]
	}
	t.lost[id] = append(lost, lostRequest{fingerprint: f, lostAt: now})
}

// RecordCrash records that an endpoint refuses connections, and counts a crash against each request lost there within
// blameWindow. Each lost request counts for one crash only. It returns the new crash records.
func (t *CrashTracker) RecordCrash(id model.EndpointID, now timekeeper.Millis) []CrashRecord {
	var records []CrashRecord
	for _, l := range t.lost[id] {
		if now-l.lostAt <= blameWindow {
			c := CrashRecord{Fingerprint: l.fingerprint, Crashes: t.Registry.Crashes(l.fingerprint, now) + 1, ExpiresIn: recordLifetime}
			t.Registry.Merge(c, now)
			records = append(records, c)
		}
	}
	delete(t.lost, id)

	return records
}

// IsQuarantined reports whether a request has crashed so many endpoints that the gateway refuses it, and for how long.
func (t *CrashTracker) IsQuarantined(f model.Fingerprint, now timekeeper.Millis) (bool, timekeeper.Millis) {
	if t.Registry.Crashes(f, now) < GatewayQuarantineThreshold {
		return false, 0
	}
	_, remaining := t.Registry.IsQuarantined(f, now)

	return true, remaining
}
