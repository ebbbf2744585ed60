package throttler

import (
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// maxUnattended is how long a waiting request may go without a look at the queue.
	maxUnattended = 100 * timekeeper.Millis(1)
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may expect room.
	minRetryAfter = 100 * timekeeper.Millis(1)
	maxRetryAfter = 5 * timekeeper.Second
	// minSpareShare is the share of the room that requests on time must leave for a late one to wait.
	minSpareShare = 0.1
	// minRoomShare is the share of the room that more urgent requests leave to less urgent ones.
	minRoomShare = 0.1
	// minMoreUrgent is the rate of more urgent arrivals, in requests a second, from which on less urgent ones leave room for them.
	minMoreUrgent = 0.1
	// waitMargin is how much longer a wait can become because requests of other accounts that arrive later start before.
	waitMargin = 2
	// queuePerTarget bounds the queue, as a multiple of the requests that start within one target latency.
	queuePerTarget = 2
	minQueue       = 4
)

// waitOrRefuse decides on a request that cannot start at once.
func (t *Throttler) waitOrRefuse(r *queuer.Request, now timekeeper.Millis) Decision {
	if !t.canWait(r, now) {
		return Decision{Action: ActionRefuse, RetryAfter: t.retryAfter(r, now)}
	}
	if t.queue.Len() >= t.maxQueue(r) {
		last, ok := t.queue.TakeLongest(t.queue.Waiting(r.Account) + 1)
		if !ok {
			return Decision{Action: ActionRefuse, RetryAfter: t.retryAfter(r, now)}
		}
		t.evicted = append(t.evicted, last)
	}
	t.queue.Push(*r)

	return Decision{Action: ActionWait}
}

// canWait reports whether a request can expect to start in time. One that is on time can wait as long as it stays so. One that is not can
// wait for as long as it would have if others that are on time leave room.
func (t *Throttler) canWait(r *queuer.Request, now timekeeper.Millis) bool {
	startAt := now + t.expectedWait(r, now)
	if r.Deadline > 0 && startAt+r.ExpectedDuration > r.Deadline {
		return false
	}
	if r.OnTimeUntil == 0 || startAt <= r.OnTimeUntil {
		return true
	}
	if !r.IsLate(now) && t.floor.isStarved(r.Priority, now) {
		return true
	}

	return t.hasSpareRoom(now) && startAt-now <= longestWait(r)
}

// longestWait returns how long a request waits for spare room once it cannot be on time any more: as long as it could have waited before.
func longestWait(r *queuer.Request) timekeeper.Millis {
	return max(r.OnTimeUntil-r.QueuedAt, r.ExpectedDuration)
}

// hasSpareRoom reports whether the requests that can be on time leave room for others.
func (t *Throttler) hasSpareRoom(now timekeeper.Millis) bool {
	return t.demand.onTime(now) < (1-minSpareShare)*t.limit.startRate()
}

// expectedWait returns the time until a request starts if it waits now: those ahead of it and more urgent ones that will arrive start
// before it.
func (t *Throttler) expectedWait(r *queuer.Request, now timekeeper.Millis) timekeeper.Millis {
	rate := t.limit.startRate()
	rate = max(rate-t.demand.moreUrgent(r.Priority, now), minRoomShare*rate)
	first := t.limit.untilRoom(t.underWay.count(now), now)
	ahead := float64(t.queue.CountBefore(r, now))
	if t.queue.IsAhead(r.Account) {
		ahead *= waitMargin
	}

	return first + timekeeper.Millis(ahead*float64(timekeeper.Second)/rate)
}

// expire removes the waiting requests that can be served neither on time nor from spare room before their deadlines.
func (t *Throttler) expire(now timekeeper.Millis) []queuer.Request {
	hasSpareRoom := t.hasSpareRoom(now)

	return t.queue.RemoveIf(func(r *queuer.Request) bool {
		isTooLate := r.Deadline > 0 && now+r.ExpectedDuration > r.Deadline

		return isTooLate || r.IsLate(now) && (!hasSpareRoom || now-r.QueuedAt > 2*longestWait(r))
	})
}

// maxQueue returns the length up to which requests wait.
func (t *Throttler) maxQueue(r *queuer.Request) int {
	perTarget := t.limit.startRate() * float64(max(r.OnTimeUntil-r.QueuedAt, 0)) / float64(timekeeper.Second)

	return minQueue + int(queuePerTarget*perTarget)
}

// retryAfter returns when a refused request can expect room. Beyond the requests that wait, a shortage in which more arrives than starts is
// expected to last as long again as it has lasted.
func (t *Throttler) retryAfter(r *queuer.Request, now timekeeper.Millis) timekeeper.Millis {
	wait := t.expectedWait(r, now)
	if !t.hasSpareRoom(now) {
		wait = max(wait, now-t.limit.onSince)
	}

	return min(max(wait, minRetryAfter), maxRetryAfter)
}
