package budgeter

import (
	"maps"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// noticeLifetime is how long it is remembered that an endpoint leaves, after it was listed last: a list may lack it for a while.
	noticeLifetime = 10 * timekeeper.Minute
	// maxReturnSpread bounds the time over which callers come back after a rest.
	maxReturnSpread = 2 * timekeeper.Second
	// maxNotices limits the endpoints whose notices are remembered, at about 100 bytes each.
	maxNotices = 20_000
)

// endpointNotice is what a run of an endpoint has asked this gateway for.
type endpointNotice struct {
	// leavingSince is when the endpoint first said that it leaves, zero if it has not.
	leavingSince timekeeper.Millis
	// restFrom and restUntil are the beginning and the end of the latest rest that it has asked for.
	restFrom  timekeeper.Millis
	restUntil timekeeper.Millis
	// listedAt is when the run was listed last.
	listedAt timekeeper.Millis
}

// EndpointNotices holds what endpoints have asked this gateway for in their answers: that it stops sending requests because they
// leave, or that it lets them rest. A notice binds only the gateway that has received it, and ends with the run of the endpoint that
// gave it; what the store says does not end it. It is not safe for concurrent use.
type EndpointNotices struct {
	byProcess map[model.EndpointProcess]endpointNotice
}

// NewEndpointNotices returns an empty set of notices.
func NewEndpointNotices() *EndpointNotices {
	return &EndpointNotices{byProcess: map[model.EndpointProcess]endpointNotice{}}
}

// RecordLeaving records that an endpoint has said that it leaves, and returns false if it has said so before.
func (n *EndpointNotices) RecordLeaving(p model.EndpointProcess, now timekeeper.Millis) bool {
	notice, ok := n.noticeOf(p, now)
	if !ok || notice.leavingSince > 0 {
		return false
	}
	notice.leavingSince = now
	n.byProcess[p] = notice

	return true
}

// RecordRest records that an endpoint wants no requests for a time, and returns false if it rests already.
func (n *EndpointNotices) RecordRest(p model.EndpointProcess, rest, now timekeeper.Millis) bool {
	notice, ok := n.noticeOf(p, now)
	if !ok {
		return false
	}
	isNew := notice.restUntil <= now
	if isNew {
		notice.restFrom = now
	}
	notice.restUntil = max(notice.restUntil, now+rest)
	n.byProcess[p] = notice

	return isNew
}

// noticeOf returns the notice of a run, or false if there is no room for a new one.
func (n *EndpointNotices) noticeOf(p model.EndpointProcess, now timekeeper.Millis) (endpointNotice, bool) {
	notice, ok := n.byProcess[p]
	if !ok && len(n.byProcess) >= maxNotices {
		return endpointNotice{}, false
	}
	if !ok {
		notice.listedAt = now
	}

	return notice, true
}

// IsLeaving reports whether an endpoint has said that it leaves.
func (n *EndpointNotices) IsLeaving(p model.EndpointProcess) bool {
	return n.byProcess[p].leavingSince > 0
}

// LeavingFor returns the time since an endpoint first said that it leaves, or zero if it has not.
func (n *EndpointNotices) LeavingFor(p model.EndpointProcess, now timekeeper.Millis) timekeeper.Millis {
	notice := n.byProcess[p]
	if notice.leavingSince == 0 {
		return 0
	}

	return now - notice.leavingSince
}

// RestLeft returns how long an endpoint still wants no requests, zero if it does not rest.
func (n *EndpointNotices) RestLeft(p model.EndpointProcess, now timekeeper.Millis) timekeeper.Millis {
	return max(n.byProcess[p].restUntil-now, 0)
}

// ReturnAfter returns after how long a caller should come back that is refused because an endpoint rests. Callers come back in the order
// in which they were refused, spread over up to maxReturnSpread after the end of the rest.
func (n *EndpointNotices) ReturnAfter(p model.EndpointProcess, now timekeeper.Millis) timekeeper.Millis {
	notice := n.byProcess[p]
	rest := notice.restUntil - notice.restFrom
	if notice.restUntil <= now || rest <= 0 {
		return 0
	}

	return notice.restUntil - now + (now-notice.restFrom)*min(rest, maxReturnSpread)/rest
}

// Counts returns the numbers of endpoints that leave and that rest.
func (n *EndpointNotices) Counts(now timekeeper.Millis) (leaving, resting int) {
	for _, notice := range n.byProcess {
		if notice.leavingSince > 0 {
			leaving++
		}
		if notice.restUntil > now {
			resting++
		}
	}

	return leaving, resting
}

// Prune forgets rests that are over and the notices of runs that have not been listed for noticeLifetime.
func (n *EndpointNotices) Prune(isListed func(model.EndpointProcess) bool, now timekeeper.Millis) {
	maps.DeleteFunc(n.byProcess, func(_ model.EndpointProcess, notice endpointNotice) bool {
		return notice.leavingSince == 0 && notice.restUntil <= now
	})
	for p, notice := range n.byProcess {
		switch {
		case isListed(p):
			notice.listedAt = now
			n.byProcess[p] = notice
		case now-notice.listedAt >= noticeLifetime:
			delete(n.byProcess, p)
		}
	}
}
