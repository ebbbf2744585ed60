package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// CondemnedCrashes is the number of crashes after which a request is never run again.
	CondemnedCrashes = 2

	markLifetime = 10 * timekeeper.Minute
	maxMarks     = 4096
	maxShared    = 32
)

// Mark is what is known of one suspected request.
type Mark struct {
	Fingerprint model.Fingerprint
	Crashes     int
	ExpiresIn   timekeeper.Millis
}

type mark struct {
	crashes int
	expires timekeeper.Millis
}

// Register holds the marks that a process knows of; every mark expires.
type Register struct {
	marks map[model.Fingerprint]mark
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{marks: map[model.Fingerprint]mark{}}
}

// Crashes returns how many crashes a fingerprint is held against for.
func (r *Register) Crashes(f model.Fingerprint, now timekeeper.Millis) int {
	m, ok := r.marks[f]
	if !ok || m.expires <= now {
		return 0
	}

	return m.crashes
}

// Condemned tells whether a fingerprint may never run again, and for how long at most.
func (r *Register) Condemned(f model.Fingerprint, now timekeeper.Millis) (bool, timekeeper.Millis) {
	m := r.marks[f]

	return m.crashes >= CondemnedCrashes && m.expires > now, m.expires - now
}

// Learn merges a mark from elsewhere and tells whether it was news.
func (r *Register) Learn(m Mark, now timekeeper.Millis) bool {
	if m.Crashes <= r.Crashes(m.Fingerprint, now) || m.ExpiresIn <= 0 {
		return false
	}
	r.set(m.Fingerprint, mark{crashes: m.Crashes, expires: now + min(m.ExpiresIn, markLifetime)}, now)

	return true
}

// Clear forgets a fingerprint that has run alone without a crash.
func (r *Register) Clear(f model.Fingerprint) {
	delete(r.marks, f)
}

// Share returns up to a bounded number of marks for the exchange, condemned ones first.
func (r *Register) Share(now timekeeper.Millis) []Mark {
	var shared []Mark
	for _, least := range []int{CondemnedCrashes, 1} {
		for f, m := range r.marks {
			fits := m.expires > now && m.crashes >= least && (least > 1 || m.crashes < CondemnedCrashes)
			if fits && len(shared) < maxShared {
				shared = append(shared, Mark{Fingerprint: f, Crashes: m.crashes, ExpiresIn: m.expires - now})
			}
		}
	}

	return shared
}

func (r *Register) set(f model.Fingerprint, m mark, now timekeeper.Millis) {
	if len(r.marks) >= maxMarks {
		r.sweep(now)
	}
	if len(r.marks) < maxMarks || r.marks[f].crashes > 0 {
		r.marks[f] = m
	}
}

func (r *Register) sweep(now timekeeper.Millis) {
	for f, m := range r.marks {
		if m.expires <= now || m.crashes < CondemnedCrashes {
			delete(r.marks, f)
		}
	}
}
