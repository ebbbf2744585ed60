package prioritizer

import (
	"math"

	"cardamompulley/fleet/timekeeper"
)

const (
	// observationHalfLife is the time in which an observation loses half of its weight.
	observationHalfLife = 2 * timekeeper.Second
	// minBadWeight is the weight of bad observations below which no shortage begins.
	minBadWeight = 3
	// A shortage begins when bad observations are beginShare of all, and ends when they are less than endShare.
	beginShare = 0.25
	endShare   = 0.1
	// maxSilence is the time without a bad observation after which a shortage ends.
	maxSilence = 3 * timekeeper.Second
)

// shortage tells from what a gateway observes whether requests of one priority are served in time.
type shortage struct {
	isShort   bool
	good, bad float64
	updatedAt timekeeper.Millis
	lastBadAt timekeeper.Millis
}

// observe records whether a request was answered in time.
func (s *shortage) observe(isBad bool, now timekeeper.Millis) {
	decay := math.Exp2(-float64(max(now-s.updatedAt, 0)) / float64(observationHalfLife))
	s.good, s.bad = s.good*decay, s.bad*decay
	s.updatedAt = now
	if isBad {
		s.bad++
		s.lastBadAt = now
	} else {
		s.good++
	}
	if s.bad >= minBadWeight && s.badShare() >= beginShare {
		s.isShort = true
	}
	s.expire(now)
}

// expire ends the shortage once few observations or none are bad.
func (s *shortage) expire(now timekeeper.Millis) {
	if s.badShare() < endShare || now-s.lastBadAt >= maxSilence {
		s.isShort = false
	}
}

// badShare returns the share of bad observations among all.
func (s *shortage) badShare() float64 {
	if s.good+s.bad == 0 {
		return 0
	}

	return s.bad / (s.good + s.bad)
}
