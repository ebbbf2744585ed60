package throttler

import (
	"math"
	"slices"

	"cardamompulley/fleet/timekeeper"
)

// underWay holds the requests under way, as the times from which they are overdue, in ascending order. An overdue request does not count any
// more: an endpoint that is silent must not take the room of others.
type underWay struct {
	overdueAt []timekeeper.Millis
}

// overdueAt returns the time from which a request is overdue: once it has been under way for its target latency, never if it has none.
func overdueAt(startedAt, target timekeeper.Millis) timekeeper.Millis {
	if target <= 0 {
		return math.MaxInt64
	}

	return startedAt + target
}

func (u *underWay) add(startedAt, target timekeeper.Millis) {
	at := overdueAt(startedAt, target)
	i, _ := slices.BinarySearch(u.overdueAt, at)
	u.overdueAt = slices.Insert(u.overdueAt, i, at)
}

func (u *underWay) remove(startedAt, target timekeeper.Millis) {
	if i, ok := slices.BinarySearch(u.overdueAt, overdueAt(startedAt, target)); ok {
		u.overdueAt = slices.Delete(u.overdueAt, i, i+1)
	}
}

// count returns the number of requests under way that are not overdue.
func (u *underWay) count(now timekeeper.Millis) int {
	overdue, _ := slices.BinarySearch(u.overdueAt, now)

	return len(u.overdueAt) - overdue
}
