package throttler

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// maxRecentAnswers is the number of answers whose median tells how long requests take at the endpoints: one of three endpoints
	// that is slow does not decide it.
	maxRecentAnswers = 7
	// recentTime is how long an answer counts as recent.
	recentTime = timekeeper.Second
	// bestTimeLifetime is how long the best median counts; in a shortage, in which requests queue at the endpoints, it is longer.
	bestTimeLifetime         = 10 * timekeeper.Second
	bestTimeShortageLifetime = timekeeper.Minute
	// smoothing is the weight of a new time in the expected time.
	smoothing = 0.2
)

// recentTimes holds how long requests took at the endpoints.
type recentTimes struct {
	times [maxRecentAnswers]timekeeper.Millis
	at    [maxRecentAnswers]timekeeper.Millis
	next  int
	// best is the lowest median of the last period, and current that of this one.
	best, current   timekeeper.Millis
	periodStartedAt timekeeper.Millis
	mean            float64
}

// add records a time and returns the median of the recent ones.
func (r *recentTimes) add(duration timekeeper.Millis, isShort bool, now timekeeper.Millis) timekeeper.Millis {
	r.times[r.next], r.at[r.next] = duration, now
	r.next = (r.next + 1) % maxRecentAnswers
	if r.mean == 0 {
		r.mean = float64(duration)
	}
	r.mean += smoothing * (float64(duration) - r.mean)
	median := r.median(now)
	r.updateBest(median, isShort, now)

	return median
}

func (r *recentTimes) median(now timekeeper.Millis) timekeeper.Millis {
	var recent []timekeeper.Millis
	for i, at := range r.at {
		if at > 0 && now-at <= recentTime {
			recent = append(recent, r.times[i])
		}
	}
	if len(recent) == 0 {
		return 0
	}
	slices.Sort(recent)

	return recent[(len(recent)-1)/2]
}

// forget drops the recent times, because the limit has changed since.
func (r *recentTimes) forget() {
	clear(r.at[:])
}

func (r *recentTimes) updateBest(median timekeeper.Millis, isShort bool, now timekeeper.Millis) {
	lifetime := bestTimeLifetime
	if isShort {
		lifetime = bestTimeShortageLifetime
	}
	if r.current == 0 || now-r.periodStartedAt > lifetime {
		r.best, r.current, r.periodStartedAt = r.current, median, now
	}
	r.current = min(r.current, median)
}

// bestTime returns the lowest median of recent time, zero if there has been no answer.
func (r *recentTimes) bestTime() timekeeper.Millis {
	if r.best == 0 {
		return r.current
	}

	return min(r.best, r.current)
}
