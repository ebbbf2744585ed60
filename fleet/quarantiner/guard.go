package quarantiner

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Guard tracks what is in flight on one endpoint and runs suspects alone.
type Guard struct {
	register *Register
	inFlight map[model.Fingerprint]int
	total    int
	alone    bool
	reserved int
}

// NewGuard returns a guard over a process's register.
func NewGuard(r *Register) *Guard {
	return &Guard{register: r, inFlight: map[model.Fingerprint]int{}}
}

// Verdict says whether a request may start now.
type Verdict string

// The verdicts of Start.
const (
	VerdictRun       Verdict = "run"
	VerdictWait      Verdict = "wait"
	VerdictCondemned Verdict = "condemned"
)

// Start admits a request, alone if it is a suspect.
func (g *Guard) Start(f model.Fingerprint, now timekeeper.Millis) Verdict {
	crashes := g.register.Crashes(f, now)
	if crashes >= CondemnedCrashes {
		return VerdictCondemned
	}
	blocked := g.alone || (crashes > 0 && g.total > 0) || (crashes == 0 && g.reserved > 0)
	if blocked {
		return VerdictWait
	}
	g.alone = crashes > 0
	g.inFlight[f]++
	g.total++

	return VerdictRun
}

// Reserve holds others back while a suspect waits to run alone; every Reserve needs a Cancel.
func (g *Guard) Reserve() {
	g.reserved++
}

// Cancel ends a reservation.
func (g *Guard) Cancel() {
	g.reserved = max(0, g.reserved-1)
}

// Suspect tells whether a fingerprint has to run alone.
func (g *Guard) Suspect(f model.Fingerprint, now timekeeper.Millis) bool {
	return g.register.Crashes(f, now) > 0
}

// Finish notes that a request ended and its endpoint still stands.
func (g *Guard) Finish(f model.Fingerprint) {
	if g.alone && g.inFlight[f] > 0 {
		g.register.Clear(f)
	}
	g.drop(f)
}

// Abandon notes that a request ended without telling anything of its endpoint.
func (g *Guard) Abandon(f model.Fingerprint) {
	g.drop(f)
}

func (g *Guard) drop(f model.Fingerprint) {
	if g.inFlight[f] == 0 {
		return
	}
	g.inFlight[f]--
	g.total--
	if g.inFlight[f] == 0 {
		delete(g.inFlight, f)
	}
	if g.total == 0 {
		g.alone = false
	}
}

// Crash marks all that is in flight and returns the new marks.
func (g *Guard) Crash(now timekeeper.Millis) []Mark {
	var marks []Mark
	for f := range g.inFlight {
		m := Mark{Fingerprint: f, Crashes: g.register.Crashes(f, now) + 1, ExpiresIn: markLifetime}
		g.register.Learn(m, now)
		marks = append(marks, m)
	}
	g.inFlight = map[model.Fingerprint]int{}
	g.total = 0
	g.alone = false

	return marks
}
