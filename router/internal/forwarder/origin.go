package forwarder

import (
	"context"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// minStreamWindow is the least age that a stream may have that a caller resumes, while no caller has said that it waits longer.
	minStreamWindow = 15 * timekeeper.Second
	// maxStreamWindow bounds the age of streams that callers resume, whatever they say.
	maxStreamWindow = 10 * timekeeper.Minute
)

// ResumeLimits configures which streams callers can resume.
type ResumeLimits struct {
	// Linger is how long an endpoint that has left the list can still begin streams.
	Linger timekeeper.Millis
	// MaxSilence is the time without an answer of the store beyond which other gateways may know newer versions.
	MaxSilence timekeeper.Millis
}

// OriginQuestion asks which software version began a stream.
type OriginQuestion struct {
	Key     resumer.StreamKey
	Service model.ServiceID
	// Window is the longest time since the stream can have begun.
	Window timekeeper.Millis
}

// softwareOf returns the software version that an endpoint runs, empty if it is not certain.
func (f *Forwarder) softwareOf(e *cataloguer.Endpoint) model.SoftwareVersion {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.balancer.SoftwareOf(e, f.clock.Now())
}

// streamWindow returns the longest time since a stream of a service can have begun that a caller still resumes. f.mu must be held.
func (f *Forwarder) streamWindow(id model.ServiceID) timekeeper.Millis {
	return min(max(f.longestTimeouts[id], minStreamWindow), maxStreamWindow)
}

// routeWindow returns the longest time since a stream of a route's service can have begun that a caller still resumes.
func (f *Forwarder) routeWindow(id model.ServiceID, r *cataloguer.Route) timekeeper.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()

	return max(f.streamWindow(id), min(r.Timeout, maxStreamWindow))
}

// recordCallerTimeout records how long a caller of a service is ready to wait for a resumable stream.
func (f *Forwarder) recordCallerTimeout(id model.ServiceID, wait timekeeper.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longestTimeouts[id] = max(f.longestTimeouts[id], min(wait, maxStreamWindow))
}

// recordStart records which software version began a stream and makes the gateway send it to others if they cannot know it.
func (f *Forwarder) recordStart(b resumer.StreamStart) {
	isSilent := f.StoreSilence() > f.maxSilence
	f.mu.Lock()
	f.origins.RecordStart(b, f.clock.Now())
	isNeeded := isSilent || !f.isSole(b.Service)
	f.mu.Unlock()
	if isNeeded {
		f.SendOrigins()
	}
}

// isSole reports whether one known version alone can have begun the streams of a service that callers still resume. f.mu must be
// held.
func (f *Forwarder) isSole(id model.ServiceID) bool {
	return f.versions.IsSole(id, f.clock.Now()-f.streamWindow(id))
}

// ReportOrigin returns what this gateway knows of a stream.
func (f *Forwarder) ReportOrigin(q OriginQuestion) resumer.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	t := resumer.Report{
		Seen:       f.versions.Seen(q.Service, now-q.Window),
		IsComplete: f.versions.IsComplete(now - q.Window),
	}
	if q.Key != 0 {
		t.Software, t.IsKnown = f.origins.Find(q.Key, now)
	}

	return t
}

// MergeOrigins takes in the origins of streams that another gateway has sent.
func (f *Forwarder) MergeOrigins(origins []resumer.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range origins {
		f.origins.Merge(o, f.clock.Now())
	}
}

// TakeUnsentOrigins returns the origins that other gateways need: those of services of which several versions, or
// unknown ones, may have begun streams; all, if others may know newer versions because the store is silent here.
func (f *Forwarder) TakeUnsentOrigins() []resumer.Origin {
	isSilent := f.StoreSilence() > f.maxSilence
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.origins.TakeUnsent(func(id model.ServiceID) bool { return isSilent || !f.isSole(id) }, f.clock.Now())
}

// ReturnUnsentOrigins takes back origins that could not be sent.
func (f *Forwarder) ReturnUnsentOrigins(origins []resumer.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origins.ReturnUnsent(origins)
}

// UpdateVersions calls update with the history of software versions while it holds the forwarder's lock, and makes the gateway
// send others what they may need then.
func (f *Forwarder) UpdateVersions(update func(*resumer.VersionHistory)) {
	f.mu.Lock()
	update(f.versions)
	f.mu.Unlock()
	f.SendOrigins()
}

// MarkOriginsUncertain makes the origins of the streams uncertain that have begun at an endpoint since a time: the endpoint has started
// again with another software version.
func (f *Forwarder) MarkOriginsUncertain(id model.EndpointID, since timekeeper.Millis) {
	f.mu.Lock()
	f.origins.MarkUncertain(id, since)
	f.mu.Unlock()
	f.SendOrigins()
}

// ExpireOrigins forgets streams that cannot be resumed any more, and versions that no such stream can have begun at.
func (f *Forwarder) ExpireOrigins() {
	f.cacheLists.expire()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.origins.Expire(now)
	f.versions.Expire(now - maxStreamWindow)
}

// OriginCounts returns the number of streams whose origins are remembered, and of those that were forgotten early.
func (f *Forwarder) OriginCounts() (remembered, evicted int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.origins.Count(), f.origins.Evicted
}

// noOrigins is what a gateway without others learns from them.
func noOrigins(context.Context, OriginQuestion) ([]resumer.Report, int) {
	return nil, 0
}
