package spreader

import (
	"math"

	"cardamompulley/fleet/timekeeper"
)

// usualAges is the time over which the usual load of an endpoint is taken, as a multiple of the age of the reports: some rounds of them, so
// that what happens to run in one does not count for usual.
const usualAges = 4

// Usual is the load that other gateways have usually reported for an endpoint. The zero value has seen no report.
type Usual struct {
	load   float64
	lastAt timekeeper.Millis
}

// Record takes in the load that reports of a mean age show now, and returns the usual one.
func (u *Usual) Record(reported int, age, now timekeeper.Millis) float64 {
	if u.lastAt == 0 {
		u.load = float64(reported)
	}
	u.load += (float64(reported) - u.load) * (1 - KeptShare(now-u.lastAt, usualAges*age))
	u.lastAt = now

	return u.load
}

// KeptShare returns the share of reported requests that still run when the report has an age, if requests run for lifetime on average.
func KeptShare(age, lifetime timekeeper.Millis) float64 {
	if lifetime <= 0 {
		return 0
	}

	return math.Exp(-float64(max(age, 0)) / float64(lifetime))
}

// Bound returns the expected load up to which an endpoint may be given one more request if it is to hold more than most only when chance
// takes it further than a number of standard deviations. The variance is that of what has begun unseen: unknownShare of the load.
func Bound(most, unknownShare, deviations float64) float64 {
	d := deviations * math.Sqrt(max(unknownShare, 0)) / 2

	return math.Pow(math.Sqrt(d*d+max(most, 0))-d, 2)
}
