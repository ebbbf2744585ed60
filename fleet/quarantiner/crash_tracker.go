package quarantiner

import (
	"math"
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// blameWindow is the longest time between the loss of a request and a crash that it may have caused.
	blameWindow = 2 * timekeeper.Second
	// maxLostRequests limits the lost requests remembered for an endpoint.
	maxLostRequests = 128
	// partitionRetryAfter is when a request may come again that is refused only because other gateways are out of reach.
	partitionRetryAfter = timekeeper.Second
)

type lostRequest struct {
	suspects []Suspect
	lostAt   timekeeper.Millis
}

// processLosses holds the requests that were lost at one process of an endpoint.
type processLosses struct {
	lost []lostRequest
	// noticedAt is the time at which the process was found to have crashed, and crashedAt that of the crash. They are valid if
	// hasCrashed is true.
	noticedAt  timekeeper.Millis
	crashedAt  timekeeper.Millis
	hasCrashed bool
}

// CrashTracker finds out what may have crashed endpoints, from the requests that a gateway lost there. It is not safe for
// concurrent use.
type CrashTracker struct {
	// Reach estimates from how many other gateways this one hears.
	Reach Reach
	// FleetSize returns the number of gateways, this one included.
	FleetSize func() int
	// Suspects holds the crashes that this gateway and others have counted.
	Suspects *SuspectTable

	// processes holds the losses by the crash that the process would end with.
	processes map[CrashID]*processLosses
}

// NewCrashTracker returns a tracker without losses.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		FleetSize: func() int { return 1 },
		Suspects:  NewSuspectTable(),
		processes: map[CrashID]*processLosses{},
	}
}

// RecordLost records a request that has reached an endpoint and ended without a whole response; c identifies the crash that the
// endpoint's process would end with. If the process has just crashed, that counts against the request's suspects. RecordLost
// returns the suspects that the crash was counted against.
func (t *CrashTracker) RecordLost(c CrashID, suspects []Suspect, now timekeeper.Millis) []Suspect {
	e := t.losses(c, now)
	if e.hasCrashed {
		return t.blame(c, suspects, e.crashedAt, now)
	}
	if len(e.lost) >= maxLostRequests {
		e.lost = e.lost[1:]
	}
	e.lost = append(e.lost, lostRequest{suspects: suspects, lostAt: now})

	return nil
}

// RecordCrash records that the process of an endpoint has ended, and counts that against the requests lost there within
// blameWindow. It returns the suspects that the crash was counted against.
func (t *CrashTracker) RecordCrash(c CrashID, now timekeeper.Millis) []Suspect {
	e := t.losses(c, now)
	if len(e.lost) == 0 {
		return nil
	}
	e.noticedAt = now
	e.hasCrashed = true
	// The process ended no later than the last request was lost there.
	e.crashedAt = e.lost[len(e.lost)-1].lostAt
	var blamed []Suspect
	for _, l := range e.lost {
		blamed = append(blamed, t.blame(c, l.suspects, e.crashedAt, now)...)
	}
	e.lost = nil

	return blamed
}

// Merge takes in what another gateway tells of a suspect. A crash that the other gateway has seen also counts against the requests
// that were lost here at the same process within blameWindow. Merge reports whether what is counted against the suspect has
// changed, and returns the suspects of requests that were lost here that a crash was counted against.
func (t *CrashTracker) Merge(s Suspicion, now timekeeper.Millis) (hasChanged bool, blamed []Suspect) {
	for _, c := range s.Crashes {
		if _, ok := t.processes[c]; ok {
			blamed = append(blamed, t.RecordCrash(c, now)...)
		}
	}

	return t.Suspects.Merge(s, now), blamed
}

// blame counts a crash against suspects and returns those that it was not counted against before.
func (t *CrashTracker) blame(c CrashID, suspects []Suspect, at, now timekeeper.Millis) []Suspect {
	return slices.DeleteFunc(slices.Clone(suspects), func(s Suspect) bool { return !t.Suspects.AddAt(s.ID, c, at, now) })
}

// losses returns what was lost within blameWindow at the process that ends with a crash.
func (t *CrashTracker) losses(c CrashID, now timekeeper.Millis) *processLosses {
	e, ok := t.processes[c]
	if !ok {
		e = &processLosses{}
		t.processes[c] = e
	}
	for len(e.lost) > 0 && now-e.lost[0].lostAt > blameWindow {
		e.lost = e.lost[1:]
	}
	e.hasCrashed = e.hasCrashed && now-e.noticedAt <= blameWindow

	return e
}

// Expire forgets the endpoints at which nothing was lost within blameWindow.
func (t *CrashTracker) Expire(now timekeeper.Millis) {
	for c := range t.processes {
		if e := t.losses(c, now); len(e.lost) == 0 && !e.hasCrashed {
			delete(t.processes, c)
		}
	}
}

// Counted returns what counts against a suspect: crashes against a request, events against a part, which all requests of a failure domain
// may share.
func (t *CrashTracker) Counted(s Suspect, now timekeeper.Millis) int {
	if s.Kind == KindPart {
		return t.Suspects.Events(s.ID, now)
	}

	return t.Suspects.Crashes(s.ID, now)
}

// IsQuarantined reports whether a suspect has crashed so many endpoints that the gateway refuses requests with it, and after how
// long a caller may come again. A gateway that hears from a share of the others only tolerates that share of the crashes,
// because the others may have seen the rest.
func (t *CrashTracker) IsQuarantined(s Suspect, now timekeeper.Millis) (bool, timekeeper.Millis) {
	crashes := t.Counted(s, now)
	if crashes >= s.Threshold() {
		return true, t.Suspects.ExpiresIn(s.ID, now)
	}
	tolerated := math.Ceil(float64(s.Threshold()) * t.Reach.Share(t.FleetSize(), now))
	if crashes < max(int(tolerated), s.minThreshold()) {
		return false, 0
	}

	return true, partitionRetryAfter
}
