package throttler

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

// underWay holds the starts of the requests under way, in ascending order.
type underWay struct {
	starts []timekeeper.Millis
	// overdueTime is the time after which a request does not count any more: an endpoint that is silent must not take the room of others.
	// It is zero before the first answer.
	overdueTime timekeeper.Millis
}

func (u *underWay) add(now timekeeper.Millis) {
	i, _ := slices.BinarySearch(u.starts, now)
	u.starts = slices.Insert(u.starts, i, now)
}

func (u *underWay) remove(startedAt timekeeper.Millis) {
	if i, ok := slices.BinarySearch(u.starts, startedAt); ok {
		u.starts = slices.Delete(u.starts, i, i+1)
	}
}

// count returns the number of requests under way that are not overdue.
func (u *underWay) count(now timekeeper.Millis) int {
	if u.overdueTime == 0 {
		return len(u.starts)
	}
	overdue, _ := slices.BinarySearch(u.starts, now-u.overdueTime)

	return len(u.starts) - overdue
}
