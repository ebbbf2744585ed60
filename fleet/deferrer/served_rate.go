package deferrer

import (
	"math"

	"cardamompulley/fleet/timekeeper"
)

// rateMemory is the time over which the usual rate of answers is taken.
const rateMemory = 2 * timekeeper.Second

// servedRate is the rate at which a gateway has answered the requests of a service in the last seconds.
type servedRate struct {
	// level is the number of answers, each less by the time that has passed since, as of a time.
	level float64
	at    timekeeper.Millis
}

func (r *servedRate) record(now timekeeper.Millis) {
	r.level = r.levelAt(now) + 1
	r.at = now
}

// levelAt returns the level at a time. A clock that was set back changes nothing.
func (r *servedRate) levelAt(now timekeeper.Millis) float64 {
	return r.level * math.Exp(-float64(max(now-r.at, 0))/float64(rateMemory))
}

// spacing returns the time between two returning callers, in milliseconds, so that they take returnShare of the usual answers. It is
// infinite if there were none.
func (r *servedRate) spacing(now timekeeper.Millis) float64 {
	return float64(rateMemory) / (returnShare * r.levelAt(now))
}
