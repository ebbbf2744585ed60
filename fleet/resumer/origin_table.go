package resumer

import (
	"maps"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// maxOrigins limits the origins that are remembered, at about 200 bytes each.
	maxOrigins = 50_000
	// expiryInterval is the time between two searches for origins that have expired.
	expiryInterval = 2 * timekeeper.Second
)

// Origin is the software version that began a stream.
type Origin struct {
	Key StreamKey
	// Software is empty if it is not certain.
	Software model.SoftwareVersion
	// Until is the time up to which the stream can be resumed.
	Until timekeeper.Millis
}

// StreamStart describes a stream that begins at an endpoint.
type StreamStart struct {
	Origin

	Service  model.ServiceID
	Endpoint model.EndpointID
}

// originEntry is an origin in the table. One that another gateway has sent has no endpoint.
type originEntry struct {
	StreamStart

	beganAt timekeeper.Millis
	isSent  bool
}

// OriginTable remembers which software versions began streams, here and at gateways that have sent their origins. Its size is limited. It is
// not safe for concurrent use.
type OriginTable struct {
	// Evicted is the number of origins that were forgotten early because the table was full.
	Evicted int

	entries map[StreamKey]*originEntry
	// order holds the keys of entries, the oldest first. It may hold keys that are gone.
	order      []StreamKey
	unsent     []StreamKey
	lastExpiry timekeeper.Millis
}

// NewOriginTable returns an empty table.
func NewOriginTable() *OriginTable {
	return &OriginTable{entries: map[StreamKey]*originEntry{}}
}

// RecordStart records a stream that has begun at an endpoint of this gateway.
func (t *OriginTable) RecordStart(b StreamStart, now timekeeper.Millis) {
	e := t.merge(b.Origin, now)
	e.Service, e.Endpoint, e.beganAt = b.Service, b.Endpoint, now
	t.setUnsent(e)
}

// Merge records an origin that another gateway has sent.
func (t *OriginTable) Merge(o Origin, now timekeeper.Millis) {
	t.merge(o, now)
}

// merge stores an origin. An origin that differs from the known one of its key makes both uncertain.
func (t *OriginTable) merge(o Origin, now timekeeper.Millis) *originEntry {
	e, ok := t.entries[o.Key]
	if ok && e.Until > now {
		if e.Software != o.Software {
			e.Software = ""
		}
		e.Until = max(e.Until, o.Until)

		return e
	}
	if !ok {
		t.makeRoom()
		t.order = append(t.order, o.Key)
	}
	e = &originEntry{StreamStart: StreamStart{Origin: o}, isSent: true}
	t.entries[o.Key] = e

	return e
}

func (t *OriginTable) makeRoom() {
	for len(t.entries) >= maxOrigins {
		if _, ok := t.entries[t.order[0]]; ok {
			delete(t.entries, t.order[0])
			t.Evicted++
		}
		t.order = t.order[1:]
	}
}

func (t *OriginTable) setUnsent(e *originEntry) {
	e.isSent = false
	t.unsent = append(t.unsent, e.Key)
}

// Find returns the version that began a stream, empty if it is not certain. It returns false if nothing is known of the stream.
func (t *OriginTable) Find(key StreamKey, now timekeeper.Millis) (model.SoftwareVersion, bool) {
	e, ok := t.entries[key]
	if !ok || e.Until <= now {
		return "", false
	}

	return e.Software, true
}

// MarkUncertain makes the origins of the streams uncertain that have begun here at an endpoint since a time.
func (t *OriginTable) MarkUncertain(id model.EndpointID, since timekeeper.Millis) {
	for _, e := range t.entries {
		if e.Endpoint == id && e.beganAt >= since && e.Software != "" {
			e.Software = ""
			t.setUnsent(e)
		}
	}
}

// TakeUnsent returns the origins of streams that have begun here, of services for which isNeeded returns true, that have not been
// taken yet. Uncertain ones are always returned.
func (t *OriginTable) TakeUnsent(isNeeded func(model.ServiceID) bool, now timekeeper.Millis) []Origin {
	var taken []Origin
	t.unsent = slices.DeleteFunc(t.unsent, func(key StreamKey) bool {
		e, ok := t.entries[key]
		if !ok || e.isSent || e.Until <= now {
			return true
		}
		if e.Software != "" && !isNeeded(e.Service) {
			return false
		}
		e.isSent = true
		taken = append(taken, e.Origin)

		return true
	})

	return taken
}

// ReturnUnsent returns origins that could not be sent, so that they are taken again.
func (t *OriginTable) ReturnUnsent(origins []Origin) {
	for _, o := range origins {
		if e, ok := t.entries[o.Key]; ok && e.isSent {
			t.setUnsent(e)
		}
	}
}

// Expire forgets the origins of streams that cannot be resumed any more.
func (t *OriginTable) Expire(now timekeeper.Millis) {
	if now-t.lastExpiry < expiryInterval {
		return
	}
	t.lastExpiry = now
	maps.DeleteFunc(t.entries, func(_ StreamKey, e *originEntry) bool { return e.Until <= now })
	isGone := func(key StreamKey) bool {
		_, ok := t.entries[key]

		return !ok
	}
	t.order = slices.DeleteFunc(slices.Clone(t.order), isGone)
	t.unsent = slices.DeleteFunc(t.unsent, isGone)
}

// Count returns the number of origins.
func (t *OriginTable) Count() int {
	return len(t.entries)
}
