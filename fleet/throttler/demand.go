package throttler

import (
	"math"

	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/timekeeper"
)

// demandWindow is the time over which rates of arrivals are averaged.
const demandWindow = timekeeper.Second

// rate is an exponentially weighted rate of events a second.
type rate struct {
	perSecond float64
	at        timekeeper.Millis
}

func (r *rate) now(now timekeeper.Millis) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(demandWindow))
}

func (r *rate) add(now timekeeper.Millis) {
	r.perSecond = r.now(now) + float64(timekeeper.Second)/float64(demandWindow)
	r.at = now
}

// demand holds the rates of arrivals at this gateway by priority, and of those that could be on time.
type demand struct {
	byPriority map[queuer.Priority]*rate
	all        rate
	punctual   rate
}

func newDemand() demand {
	return demand{byPriority: map[queuer.Priority]*rate{}}
}

func (d *demand) record(p queuer.Priority, isOnTime bool, now timekeeper.Millis) {
	r, ok := d.byPriority[p]
	if !ok {
		r = &rate{at: now}
		d.byPriority[p] = r
	}
	r.add(now)
	d.all.add(now)
	if isOnTime {
		d.punctual.add(now)
	}
}

// total returns the arrivals a second.
func (d *demand) total(now timekeeper.Millis) float64 {
	return d.all.now(now)
}

// onTime returns the arrivals a second that could be on time.
func (d *demand) onTime(now timekeeper.Millis) float64 {
	return d.punctual.now(now)
}

// moreUrgent returns the arrivals a second that are more urgent than a priority.
func (d *demand) moreUrgent(p queuer.Priority, now timekeeper.Millis) float64 {
	sum := 0.0
	for other, r := range d.byPriority {
		if other < p {
			sum += r.now(now)
		}
	}

	return sum
}
