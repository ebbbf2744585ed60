package deduplicator

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const evictionBatch = 64

// raiseCreatedFloor raises the floor to this sidecar's start time as computed from the current wall clock. The floor never
// falls, so that a clock jump does not make keys from before the start run again.
func (d *Deduplicator) raiseCreatedFloor() {
	uptime := d.clock.Now() - d.started
	d.createdFloor = max(d.createdFloor, d.clock.Wall()-uptime)
}

// createdFloorAt returns the highest wall-clock time that can correspond to a monotonic time, regardless of clock jumps.
func (d *Deduplicator) createdFloorAt(now timekeeper.Millis) timekeeper.Millis {
	return d.createdFloor + now - d.started
}

// isProvablyNew reports whether the key cannot have run before, neither here before the last start nor at a stopped home.
//
// A key with a creation time must have been created after this sidecar started and after it saw the homes declared as
// stopped, by more than the clock skew. Any other key is new once the caller's resend window since these events has passed.
func (d *Deduplicator) isProvablyNew(k Key, p Policy, stopped []stoppedHome) bool {
	created, ok := KeyCreationTime(k.Key)
	if ok {
		return d.isProvablyNewByTime(created, p, stopped)
	}
	since := d.started
	for _, s := range stopped {
		since = max(since, d.stopObservedAt[s])
	}

	return d.clock.Now()-since > p.ResendWindow
}

func (d *Deduplicator) isProvablyNewByTime(created timekeeper.Millis, p Policy, stopped []stoppedHome) bool {
	floor := d.createdFloor
	for _, s := range stopped {
		floor = max(floor, d.createdFloorAt(d.stopObservedAt[s]))
	}
	wall := d.clock.Wall()
	isFromFuture := created > wall+p.ClockSkew
	isExpired := created+p.Retention < wall

	return created > floor+p.ClockSkew && !isFromFuture && !isExpired
}

func (d *Deduplicator) insert(k Key, body model.Digest, p Policy) {
	created, hasCreationTime := KeyCreationTime(k.Key)
	d.records[k] = &record{
		state:           stateAwaitingRelease,
		bodyDigest:      body,
		created:         created,
		hasCreationTime: hasCreationTime,
		lastUsed:        d.clock.Now(),
		retention:       p.Retention,
		clockSkew:       p.ClockSkew,
	}
}

func (d *Deduplicator) remove(k Key) {
	if r, ok := d.records[k]; ok {
		d.totalResponseBytes -= len(r.response.Body)
		delete(d.records, k)
	}
}

// isFullAfterEviction reports whether the record limit is reached, after evicting a batch of expired records if it is.
func (d *Deduplicator) isFullAfterEviction() bool {
	if len(d.records) < d.maxRecords {
		return false
	}
	d.Evict(evictionBatch)

	return len(d.records) >= d.maxRecords
}

// Evict removes up to limit expired records and returns how many it removed. It raises the floor to the creation times of
// the removed keys, so that neither they nor older keys with a creation time run again.
func (d *Deduplicator) Evict(limit int) int {
	evicted := 0
	for k, r := range d.records {
		if evicted >= limit {
			break
		}
		if !d.isExpired(r) {
			continue
		}
		if r.hasCreationTime {
			d.createdFloor = max(d.createdFloor, r.created)
		}
		d.remove(k)
		evicted++
	}

	return evicted
}

func (d *Deduplicator) isExpired(r *record) bool {
	if r.state == stateAwaitingRelease || r.state == stateRunning {
		return false
	}
	if r.hasCreationTime {
		return r.created+r.retention+r.clockSkew < d.clock.Wall()
	}

	return r.lastUsed+r.retention < d.clock.Now()
}
