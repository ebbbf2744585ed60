package resumer

import (
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// versionSpan says until when endpoints of a version can have begun streams.
type versionSpan struct {
	isPresent bool
	// until counts if the version is not present.
	until timekeeper.Millis
}

// VersionHistory holds which software versions have served each service, and since when nothing can be missing. It is not safe for
// concurrent use.
type VersionHistory struct {
	// linger is how long an endpoint that has left the list can still begin streams.
	linger timekeeper.Millis
	// completeSince is the time since which no endpoint can have served without being recorded.
	completeSince timekeeper.Millis
	services      map[model.ServiceID]map[model.SoftwareVersion]versionSpan
}

// NewVersionHistory returns the history of a process that has seen nothing yet. Endpoints can begin streams for linger after they
// have left the list.
func NewVersionHistory(linger, now timekeeper.Millis) *VersionHistory {
	return &VersionHistory{linger: linger, completeSince: now, services: map[model.ServiceID]map[model.SoftwareVersion]versionSpan{}}
}

// Restart records that endpoints may have come and gone unseen before a time.
func (h *VersionHistory) Restart(at timekeeper.Millis) {
	h.completeSince = max(h.completeSince, at)
}

// Extend records that all endpoints that have served from one time to another were recorded.
func (h *VersionHistory) Extend(from, to timekeeper.Millis) {
	if h.completeSince <= to {
		h.completeSince = min(h.completeSince, from)
	}
}

// Observe records the endpoints that are listed now, in place of those before.
func (h *VersionHistory) Observe(endpoints []*cataloguer.Endpoint, now timekeeper.Millis) {
	present := map[model.ServiceID]map[model.SoftwareVersion]bool{}
	for _, e := range endpoints {
		if present[e.Service] == nil {
			present[e.Service] = map[model.SoftwareVersion]bool{}
		}
		present[e.Service][e.Software] = true
		h.spans(e.Service)[e.Software] = versionSpan{isPresent: true}
	}
	for service, spans := range h.services {
		for software, span := range spans {
			if span.isPresent && !present[service][software] {
				spans[software] = versionSpan{until: now + h.linger}
			}
		}
	}
}

// RecordPast records a version that has served and need not be listed any more.
func (h *VersionHistory) RecordPast(service model.ServiceID, software model.SoftwareVersion, now timekeeper.Millis) {
	spans := h.spans(service)
	if span := spans[software]; !span.isPresent {
		spans[software] = versionSpan{until: max(span.until, now+h.linger)}
	}
}

// Seen returns the versions that can have begun streams of a service since a time, in order. An empty one is unknown.
func (h *VersionHistory) Seen(service model.ServiceID, since timekeeper.Millis) []model.SoftwareVersion {
	var seen []model.SoftwareVersion
	for software, span := range h.services[service] {
		if span.isPresent || span.until >= since {
			seen = append(seen, software)
		}
	}
	slices.Sort(seen)

	return seen
}

// IsComplete reports whether Seen misses no version since a time.
func (h *VersionHistory) IsComplete(since timekeeper.Millis) bool {
	return h.completeSince <= since
}

// IsSole reports whether one known version alone can have begun streams of a service since a time.
func (h *VersionHistory) IsSole(service model.ServiceID, since timekeeper.Millis) bool {
	_, isSole := SoleVersion(h.Seen(service, since))

	return isSole && h.IsComplete(since)
}

// Expire forgets the versions that left before a time.
func (h *VersionHistory) Expire(before timekeeper.Millis) {
	for service, spans := range h.services {
		for software, span := range spans {
			if !span.isPresent && span.until < before {
				delete(spans, software)
			}
		}
		if len(spans) == 0 {
			delete(h.services, service)
		}
	}
}

func (h *VersionHistory) spans(service model.ServiceID) map[model.SoftwareVersion]versionSpan {
	spans, ok := h.services[service]
	if !ok {
		spans = map[model.SoftwareVersion]versionSpan{}
		h.services[service] = spans
	}

	return spans
}
