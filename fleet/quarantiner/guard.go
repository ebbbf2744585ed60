package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// QuarantineThreshold is the number of crashes after which a guard no longer runs a request.
const QuarantineThreshold = 2

// Guard admits requests to one endpoint, runs suspects in isolation and refuses quarantined requests. It is not safe for
// concurrent use.
type Guard struct {
	suspects *SuspectTable
	inFlight map[model.Fingerprint]int
	total    int
	// isIsolated is true while a suspect runs alone.
	isIsolated bool
	// reservations is the number of suspects that wait to run alone.
	reservations int
}

// NewGuard returns a guard that uses the suspects of a process.
func NewGuard(t *SuspectTable) *Guard {
	return &Guard{suspects: t, inFlight: map[model.Fingerprint]int{}}
}

// Decision says whether a request may start now.
type Decision string

// The decisions of Admit.
const (
	// DecisionRun means that the request counts as in flight and may start.
	DecisionRun Decision = "run"
	// DecisionWait means that the caller has to try again after another request has ended.
	DecisionWait Decision = "wait"
	// DecisionRefuse means that the request is quarantined.
	DecisionRefuse Decision = "condemned"
)

// Admit decides whether a request may start. A suspect starts only if nothing else is in flight, and nothing else starts
// while it runs.
func (g *Guard) Admit(f model.Fingerprint, now timekeeper.Millis) Decision {
	crashes := g.suspects.Crashes(SuspectID(f), now)
	if crashes >= QuarantineThreshold {
		return DecisionRefuse
	}
	mustWait := g.isIsolated || (crashes > 0 && g.total > 0) || (crashes == 0 && g.reservations > 0)
	if mustWait {
		return DecisionWait
	}
	g.isIsolated = crashes > 0
	g.inFlight[f]++
	g.total++

	return DecisionRun
}

// Reserve makes requests that are not suspects wait while a suspect waits to run alone. Each call needs a matching call of
// CancelReservation.
func (g *Guard) Reserve() {
	g.reservations++
}

// CancelReservation ends a reservation.
func (g *Guard) CancelReservation() {
	g.reservations = max(0, g.reservations-1)
}

// IsSuspect reports whether a request has to run alone.
func (g *Guard) IsSuspect(f model.Fingerprint, now timekeeper.Millis) bool {
	return g.suspects.Crashes(SuspectID(f), now) > 0
}

// Finish records that a request has ended without a crash. This clears a suspect that ran alone.
func (g *Guard) Finish(f model.Fingerprint, now timekeeper.Millis) {
	if g.isIsolated && g.inFlight[f] > 0 {
		g.suspects.RecordAnswer(SuspectID(f), now)
	}
	g.release(f)
}

// Abandon records that a request has ended in a way that does not show whether the endpoint survived it. A suspect stays a
// suspect.
func (g *Guard) Abandon(f model.Fingerprint) {
	g.release(f)
}

func (g *Guard) release(f model.Fingerprint) {
	if g.inFlight[f] == 0 {
		return
	}
	g.inFlight[f]--
	g.total--
	if g.inFlight[f] == 0 {
		delete(g.inFlight, f)
	}
	if g.total == 0 {
		g.isIsolated = false
	}
}

// RecordCrash counts a crash against every request in flight and returns the fingerprints of those that it counts against.
func (g *Guard) RecordCrash(c CrashID, now timekeeper.Millis) []model.Fingerprint {
	var blamed []model.Fingerprint
	for f := range g.inFlight {
		if g.suspects.Add(SuspectID(f), c, now) {
			blamed = append(blamed, f)
		}
	}
	g.inFlight = map[model.Fingerprint]int{}
	g.total = 0
	g.isIsolated = false

	return blamed
}
