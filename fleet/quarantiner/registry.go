package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// QuarantineThreshold is the number of crashes after which a request is no longer run.
	QuarantineThreshold = 2

	recordLifetime   = 10 * timekeeper.Minute
	maxRecords       = 4096
	maxSharedRecords = 32
)

// CrashRecord holds the number of endpoint crashes counted against a request. Peer messages call it CrashMark or Condemned.
type CrashRecord struct {
	Fingerprint model.Fingerprint
	Crashes     int
	ExpiresIn   timekeeper.Millis
}

type record struct {
	crashes   int
	expiresAt timekeeper.Millis
}

// Registry holds the crash records of a process, at most maxRecords of them. Each record expires. Registry is not safe for
// concurrent use.
type Registry struct {
	records map[model.Fingerprint]record
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[model.Fingerprint]record{}}
}

// Crashes returns the number of crashes that count against a request.
func (r *Registry) Crashes(f model.Fingerprint, now timekeeper.Millis) int {
	rec, ok := r.records[f]
	if !ok || rec.expiresAt <= now {
		return 0
	}

	return rec.crashes
}

// IsQuarantined reports whether a request is quarantined, and how long its crash record still lasts.
func (r *Registry) IsQuarantined(f model.Fingerprint, now timekeeper.Millis) (bool, timekeeper.Millis) {
	rec := r.records[f]

	return rec.crashes >= QuarantineThreshold && rec.expiresAt > now, rec.expiresAt - now
}

// Merge takes in a crash record if it counts more crashes than the one held, and reports whether it does. The record lasts
// recordLifetime at most.
func (r *Registry) Merge(c CrashRecord, now timekeeper.Millis) bool {
	if c.Crashes <= r.Crashes(c.Fingerprint, now) || c.ExpiresIn <= 0 {
		return false
	}
	r.put(c.Fingerprint, record{crashes: c.Crashes, expiresAt: now + min(c.ExpiresIn, recordLifetime)}, now)

	return true
}

// Remove deletes the crash record of a request.
func (r *Registry) Remove(f model.Fingerprint) {
	delete(r.records, f)
}

// RecordsToShare returns up to maxSharedRecords crash records to send to peers, quarantined requests first.
func (r *Registry) RecordsToShare(now timekeeper.Millis) []CrashRecord {
	var shared []CrashRecord
	for _, minCrashes := range []int{QuarantineThreshold, 1} {
		for f, rec := range r.records {
			isSelected := rec.expiresAt > now && rec.crashes >= minCrashes && (minCrashes > 1 || rec.crashes < QuarantineThreshold)
			if isSelected && len(shared) < maxSharedRecords {
				shared = append(shared, CrashRecord{Fingerprint: f, Crashes: rec.crashes, ExpiresIn: rec.expiresAt - now})
			}
		}
	}

	return shared
}

// put stores a record unless the registry stays full after eviction and does not hold the request yet.
func (r *Registry) put(f model.Fingerprint, rec record, now timekeeper.Millis) {
	if len(r.records) >= maxRecords {
		r.evict(now)
	}
	if len(r.records) < maxRecords || r.records[f].crashes > 0 {
		r.records[f] = rec
	}
}

// evict deletes expired records and the records of requests that are not quarantined.
func (r *Registry) evict(now timekeeper.Millis) {
	for f, rec := range r.records {
		if rec.expiresAt <= now || rec.crashes < QuarantineThreshold {
			delete(r.records, f)
		}
	}
}
