package spreader

import "cardamompulley/fleet/timekeeper"

// lifetimeWindow is the time over which the mean running time is taken. It holds enough requests for a mean at some requests a second,
// and follows a change of the traffic within the seconds that callers wait.
const lifetimeWindow = 5 * timekeeper.Second

// Lifetime estimates the mean running time of the requests of a service by Little's law: the requests found running at the start of
// others, over the rate of the starts. The zero value has seen no request.
type Lifetime struct {
	// starts and running are the numbers of starts and of the requests found running at them, both weighted by age.
	starts, running float64
	lastAt          timekeeper.Millis
}

// RecordStart records that a request starts while running others of the service run.
func (l *Lifetime) RecordStart(running int, now timekeeper.Millis) {
	keep := KeptShare(now-l.lastAt, lifetimeWindow)
	l.starts = l.starts*keep + 1
	l.running = l.running*keep + float64(running)
	l.lastAt = now
}

// Mean returns the mean running time. It is zero while nothing has been found running.
func (l *Lifetime) Mean() timekeeper.Millis {
	if l.starts == 0 {
		return 0
	}

	return timekeeper.Millis(l.running / l.starts * float64(lifetimeWindow) / l.starts)
}
