package budgeter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// coldWindow is longer than the one second of the operators' limit, because requests do not all take the same time to reach
// the endpoint.
const coldWindow = 1200 * timekeeper.Millis(1)

// ColdStartLimiter enforces this gateway's share of the request rate allowed to endpoints in a cold start.
type ColdStartLimiter struct {
	self     string
	requests map[model.EndpointID]*window
}

// NewColdStartLimiter returns a limiter that has recorded no requests; self is the address of this gateway.
func NewColdStartLimiter(self string) *ColdStartLimiter {
	return &ColdStartLimiter{self: self, requests: map[model.EndpointID]*window{}}
}

// Share returns how many requests this gateway may send to a cold endpoint per window, if perSecond requests are allowed and
// divided among gateways. It is 0 if gateways is empty. If there are more gateways than requests, the gateways that rank
// first for the endpoint get one request each.
func (l *ColdStartLimiter) Share(id model.EndpointID, perSecond float64, gateways []string) int {
	if len(gateways) == 0 {
		return 0
	}
	share := int(perSecond / float64(len(gateways)))
	if share > 0 {
		return share
	}
	if rank(id, l.self, gateways) < int(perSecond) {
		return 1
	}

	return 0
}

// HasQuota reports whether this gateway may send one more request to a cold endpoint, given its share per window.
func (l *ColdStartLimiter) HasQuota(id model.EndpointID, share int, now timekeeper.Millis) bool {
	w, ok := l.requests[id]

	return share > 0 && (!ok || w.count(now) < share)
}

// RecordRequest records a request sent to an endpoint.
func (l *ColdStartLimiter) RecordRequest(id model.EndpointID, now timekeeper.Millis) {
	w, ok := l.requests[id]
	if !ok {
		w = newWindow(coldWindow)
		l.requests[id] = w
	}
	w.add(now)
}

// Prune removes the state of endpoints that are no longer known.
func (l *ColdStartLimiter) Prune(isKnown func(model.EndpointID) bool) {
	for id := range l.requests {
		if !isKnown(id) {
			delete(l.requests, id)
		}
	}
}
