package deduplicator

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const evictionBatch = 64

// raiseFloor keeps the start of this incarnation in terms of the wall clock; it never falls, so no jump re-admits keys.
func (d *Deduplicator) raiseFloor() {
	uptime := d.clock.Now() - d.started
	d.floor = max(d.floor, d.clock.Wall()-uptime)
}

// floorAt is the latest that the wall clock can have stood at an instant of this incarnation, whatever jumps came since.
func (d *Deduplicator) floorAt(now timekeeper.Millis) timekeeper.Millis {
	return d.floor + now - d.started
}

// provable tells whether no earlier incarnation and no stopped home can have begun the key.
func (d *Deduplicator) provable(k Key, p Policy, stopped []stop) bool {
	created, timed := CreatedAt(k.Key)
	if timed {
		return d.provableByTime(created, p, stopped)
	}
	since := d.started
	for _, s := range stopped {
		since = max(since, d.stopsSeen[s])
	}

	return d.clock.Now()-since > p.ResendWindow
}

func (d *Deduplicator) provableByTime(created timekeeper.Millis, p Policy, stopped []stop) bool {
	floor := d.floor
	for _, s := range stopped {
		floor = max(floor, d.floorAt(d.stopsSeen[s]))
	}
	wall := d.clock.Wall()
	fromFuture := created > wall+p.Skew
	expired := created+p.Retention < wall

	return created > floor+p.Skew && !fromFuture && !expired
}

func (d *Deduplicator) insert(k Key, body model.Digest, p Policy) {
	created, timed := CreatedAt(k.Key)
	d.records[k] = &record{
		state:     stateAsking,
		body:      body,
		created:   created,
		timed:     timed,
		touched:   d.clock.Now(),
		retention: p.Retention,
		skew:      p.Skew,
	}
}

func (d *Deduplicator) remove(k Key) {
	if r, ok := d.records[k]; ok {
		d.bytes -= len(r.answer.Body)
		delete(d.records, k)
	}
}

// full evicts a batch of expired records when the table is at its bound and tells whether it still is.
func (d *Deduplicator) full() bool {
	if len(d.records) < d.maxRecords {
		return false
	}
	d.Evict(evictionBatch)

	return len(d.records) >= d.maxRecords
}

// Evict forgets up to a number of expired records; keys as old as a forgotten one are never run again.
func (d *Deduplicator) Evict(most int) int {
	evicted := 0
	for k, r := range d.records {
		if evicted >= most {
			break
		}
		if !d.expired(r) {
			continue
		}
		if r.timed {
			d.floor = max(d.floor, r.created)
		}
		d.remove(k)
		evicted++
	}

	return evicted
}

func (d *Deduplicator) expired(r *record) bool {
	if r.state == stateAsking || r.state == stateRunning {
		return false
	}
	if r.timed {
		return r.created+r.retention+r.skew < d.clock.Wall()
	}

	return r.touched+r.retention < d.clock.Now()
}
