package throttler

import (
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// floorShare is the share of its arrivals that a priority gets served, whatever more urgent ones need.
	floorShare = 0.1
	// floorInterval is the number of starts of which at most one is for the floor.
	floorInterval = 10
)

// floor keeps the less urgent requests from being starved.
type floor struct {
	byPriority map[queuer.Priority]*flow
	// startsSince counts the starts since the last one for the floor.
	startsSince int
}

// flow is how often requests of a priority arrive and start.
type flow struct {
	arrivals rate
	starts   rate
}

func newFloor() floor {
	return floor{byPriority: map[queuer.Priority]*flow{}, startsSince: floorInterval}
}

func (f *floor) of(p queuer.Priority) *flow {
	s, ok := f.byPriority[p]
	if !ok {
		s = &flow{}
		f.byPriority[p] = s
	}

	return s
}

func (f *floor) recordArrival(p queuer.Priority, now timekeeper.Millis) {
	f.of(p).arrivals.add(now)
}

func (f *floor) recordStart(p queuer.Priority, now timekeeper.Millis) {
	f.of(p).starts.add(now)
	f.startsSince++
}

// take records that the next start is for the floor.
func (f *floor) take() {
	f.startsSince = -1
}

// isStarved reports whether a priority gets less than its floor and the next start may be for it.
func (f *floor) isStarved(p queuer.Priority, now timekeeper.Millis) bool {
	s := f.of(p)

	return f.startsSince >= floorInterval-1 && s.starts.now(now) < floorShare*s.arrivals.now(now)
}

// due returns the least urgent priority that waits in the queue and gets less than its floor.
func (f *floor) due(q *queuer.Queue, now timekeeper.Millis) (p queuer.Priority, ok bool) {
	q.All(func(r *queuer.Request) {
		if (!ok || r.Priority > p) && f.isStarved(r.Priority, now) {
			p, ok = r.Priority, true
		}
	})

	return p, ok
}
