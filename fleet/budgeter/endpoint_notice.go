package budgeter

import (
	"maps"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// noticeLifetime is how long it is remembered that an endpoint leaves, after it was listed last: a list may lack it for a while.
	noticeLifetime = 10 * timekeeper.Minute
	// maxReturnSpread bounds the time over which callers come back after a backoff.
	maxReturnSpread = 2 * timekeeper.Second
	// maxNotices limits the endpoints whose notices are remembered, at about 100 bytes each.
	maxNotices = 20_000
)

// endpointNotice is what a run of an endpoint has asked this gateway for.
type endpointNotice struct {
	// leavingSince is when the endpoint first said that it leaves, zero if it has not.
	leavingSince timekeeper.Millis
	// backoffFrom and backoffUntil are the beginning and the end of the latest backoff that it has asked for.
	backoffFrom  timekeeper.Millis
	backoffUntil timekeeper.Millis
	// listedAt is when the run was listed last.
	listedAt timekeeper.Millis
}

// EndpointNotices holds what endpoints have asked this gateway for in their answers: that it stops sending requests because they
// leave, or that it sends nothing for a time (a backoff). A notice binds only the gateway that has received it, and ends with the
// run of the endpoint that gave it; what the store says does not end it. It is not safe for concurrent use.
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

// RecordBackoff records that an endpoint wants no requests for a time, and returns false if it wants none already.
func (n *EndpointNotices) RecordBackoff(p model.EndpointProcess, backoff, now timekeeper.Millis) bool {
	notice, ok := n.noticeOf(p, now)
	if !ok {
		return false
	}
	isNew := notice.backoffUntil <= now
	if isNew {
		notice.backoffFrom = now
	}
	notice.backoffUntil = max(notice.backoffUntil, now+backoff)
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

// HasLeft reports whether an endpoint first said that it leaves a grace period ago or earlier.
func (n *EndpointNotices) HasLeft(p model.EndpointProcess, grace, now timekeeper.Millis) bool {
	return n.IsLeaving(p) && now-n.byProcess[p].leavingSince >= grace
}

// BackoffLeft returns how long an endpoint still wants no requests, zero if it has not asked for a backoff.
func (n *EndpointNotices) BackoffLeft(p model.EndpointProcess, now timekeeper.Millis) timekeeper.Millis {
	return max(n.byProcess[p].backoffUntil-now, 0)
}

// ReturnAfter returns after how long a caller should come back that is refused because of an endpoint's backoff. Callers come back in
// the order in which they were refused, spread over up to maxReturnSpread after its end.
func (n *EndpointNotices) ReturnAfter(p model.EndpointProcess, now timekeeper.Millis) timekeeper.Millis {
	notice := n.byProcess[p]
	backoff := notice.backoffUntil - notice.backoffFrom
	if notice.backoffUntil <= now || backoff <= 0 {
		return 0
	}

	return notice.backoffUntil - now + (now-notice.backoffFrom)*min(backoff, maxReturnSpread)/backoff
}

// Counts returns the numbers of endpoints that leave and that have asked for a backoff.
func (n *EndpointNotices) Counts(now timekeeper.Millis) (leaving, backingOff int) {
	for _, notice := range n.byProcess {
		if notice.leavingSince > 0 {
			leaving++
		}
		if notice.backoffUntil > now {
			backingOff++
		}
	}

	return leaving, backingOff
}

// Prune forgets backoffs that are over and the notices of runs that have not been listed for noticeLifetime.
func (n *EndpointNotices) Prune(isListed func(model.EndpointProcess) bool, now timekeeper.Millis) {
	maps.DeleteFunc(n.byProcess, func(_ model.EndpointProcess, notice endpointNotice) bool {
		return notice.leavingSince == 0 && notice.backoffUntil <= now
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
