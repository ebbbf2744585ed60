package throttler

import (
	"math"

	"cardamompulley/fleet/timekeeper"
)

const (
	// queueShare is the share of the time between the best time at the endpoints and the target latency that requests may queue there.
	queueShare = 0.3
	// minQueueShare is the least time that they may queue there, as a share of the best time.
	minQueueShare = 0.25
	// growth is what the limit gains in one time at the endpoints while it binds, as a share of what this gateway's callers ask for:
	// gateways with more traffic gain more. freeGrowth is the same while others report free slots.
	growth     = 0.5
	freeGrowth = 0.3
	// toleratedRejections is the share of requests that are rejected from which on the limit does not grow, and rejectionSmoothing the weight
	// of one request in that share. Endpoints that are full by turns reject some requests although the service has room.
	toleratedRejections = 0.2
	rejectionSmoothing  = 0.1
	// slowDecrease and strongDecrease are the largest and the smallest factor of the limit if requests queue too long at the endpoints, and
	// rejectionDecrease is its factor after a rejection.
	slowDecrease      = 0.95
	strongDecrease    = 0.7
	rejectionDecrease = 0.8
	// idleShare is the share of the slots in use below which a service certainly has room.
	idleShare = 0.5
	// usableRejections is the share of requests that are rejected from which on a gateway counts on free slots only, not on places in the
	// queues of endpoints.
	usableRejections = 0.05
	// WaitingShare is how many requests may wait at an endpoint whose slots are taken, as a share of its slots, before it counts as full.
	WaitingShare = 0.5
	// calmTime is how long nothing may have waited or been rejected before the limit ends.
	calmTime = 500 * timekeeper.Millis(1)
	// repeatedRejectionTime is the time within which a second rejection shows a shortage although the service did not seem busy.
	repeatedRejectionTime = timekeeper.Second
	// paceGain is how much more often a gateway whose limit is below one may start requests than it does if these come at random.
	paceGain = 1.5
	// savedPaces is the number of paced starts that a gateway without requests saves up.
	savedPaces = 1
	// minLimit bounds the limit from below: one request in a hundred times at the endpoints.
	minLimit = 0.01
	// minFraction is the fraction of a limit below which it lets no request start: one in more than ten thousand times at the endpoints.
	minFraction = 1e-4
	// defaultTime is the expected time at the endpoints before the first answer.
	defaultTime = 50 * timekeeper.Millis(1)
)

// answer is how long an endpoint took for a request, and the target latency of its route.
type answer struct {
	duration timekeeper.Millis
	target   timekeeper.Millis
}

// limit is the adaptive limit on this gateway's requests under way at a service. Its whole part may be under way at any time; the
// fraction lets one more start from time to time.
type limit struct {
	isOn  bool
	value float64
	// onSince is when the shortage has begun.
	onSince timekeeper.Millis
	// shortAt is when a request last had to wait or was refused, badAt when answers last came late or were rejections, and
	// decreasedAt when the limit last decreased.
	shortAt, badAt, decreasedAt timekeeper.Millis
	rejectedAt                  timekeeper.Millis
	// freedAt is when the limit last grew because other gateways' reports show free slots.
	freedAt timekeeper.Millis
	// isBinding is true if a request had to wait or was refused since the last answer.
	isBinding bool
	// pacedAt is the last start that used the fraction of the limit.
	pacedAt timekeeper.Millis
	times   recentTimes
	// rejectedShare is the moving average of the share of requests that endpoints reject.
	rejectedShare float64
}

// expectedTime returns how long a request is expected to take at an endpoint.
func (l *limit) expectedTime() timekeeper.Millis {
	if l.times.mean == 0 {
		return defaultTime
	}

	return max(timekeeper.Millis(l.times.mean), 1)
}

// startRate returns the number of requests a second that the limit lets start.
func (l *limit) startRate() float64 {
	return l.value * float64(timekeeper.Second) / float64(l.expectedTime())
}

// hasRoom reports whether another request may start beside those under way.
func (l *limit) hasRoom(underWay int, now timekeeper.Millis) bool {
	if !l.isOn || underWay < int(l.value) {
		return true
	}

	return underWay == int(l.value) && now >= l.nextPaced()
}

// hasSavedRoom reports whether a more urgent request may also start after one that starts now.
func (l *limit) hasSavedRoom(underWay int, now timekeeper.Millis) bool {
	if !l.isOn || underWay < int(l.value) {
		return true
	}

	return l.hasRoom(underWay, now) && now-l.pacedAt >= (1+savedPaces)*(l.nextPaced()-l.pacedAt)
}

// nextPaced returns when the fraction of the limit next lets a request start.
func (l *limit) nextPaced() timekeeper.Millis {
	fraction := l.value - math.Floor(l.value)
	if fraction < minFraction {
		return math.MaxInt64
	}

	return l.pacedAt + timekeeper.Millis(float64(l.expectedTime())/fraction)
}

// nextStart returns when a request may start although none ends, zero if never.
func (l *limit) nextStart(underWay int, now timekeeper.Millis) timekeeper.Millis {
	if !l.isOn || underWay < int(l.value) {
		return now + 1
	}
	if underWay > int(l.value) || l.nextPaced() == math.MaxInt64 {
		return 0
	}

	return max(l.nextPaced(), now+1)
}

// untilRoom returns the expected time until a request may start.
func (l *limit) untilRoom(underWay int, now timekeeper.Millis) timekeeper.Millis {
	if l.hasRoom(underWay, now) {
		return 0
	}
	untilEnd := timekeeper.Millis(math.MaxInt64)
	if underWay > 0 && l.value >= 1 {
		untilEnd = l.expectedTime() / timekeeper.Millis(underWay+1)
	}
	if at := l.nextStart(underWay, now); at > 0 {
		return min(untilEnd, at-now)
	}
	if untilEnd == math.MaxInt64 {
		return timekeeper.Millis(float64(timekeeper.Second) / l.startRate())
	}

	return untilEnd
}

// recordStart records that a request starts beside those under way.
func (l *limit) recordStart(underWay int, now timekeeper.Millis) {
	if l.isOn && underWay >= int(l.value) && l.nextPaced() <= now {
		l.pacedAt = max(l.nextPaced(), now-savedPaces*(l.nextPaced()-l.pacedAt))
	}
}

// recordShortage records that a request has to wait or is refused.
func (l *limit) recordShortage(arrivals float64, c Capacity, now timekeeper.Millis) {
	l.shortAt = now
	l.isBinding = true
	if c.hasFree() && l.rejectedShare < toleratedRejections && now-l.freedAt >= l.expectedTime() && now-l.decreasedAt >= 2*l.expectedTime() {
		l.freedAt = now
		l.value += freeGrowth * l.wanted(arrivals)
	}
}

// update ends the limit when nothing has waited or been rejected for some time.
func (l *limit) update(c Capacity, now timekeeper.Millis) {
	if !l.isOn || c.isBusy() {
		return
	}
	if now-l.shortAt >= calmTime && now-l.badAt >= calmTime {
		l.isOn = false
	}
}

// recordAnswer raises or lowers the limit after an answer. arrivals is the number of requests a second that callers send this gateway.
func (l *limit) recordAnswer(a answer, arrivals float64, c Capacity, now timekeeper.Millis) {
	median := l.times.add(a.duration, l.isOn, now)
	l.rejectedShare -= rejectionSmoothing * l.rejectedShare
	isBinding := l.isBinding
	l.isBinding = false
	if l.isOn && now-a.duration < l.decreasedAt {
		return
	}
	switch isSlow := median > l.goal(a.target); {
	case !l.isOn && isSlow && (c.isBusy() || c.Slots == 0 && l.wasRejected(now)):
		l.enter(arrivals, c, now)
	case l.isOn && isSlow:
		excess := float64(l.goal(a.target)) / float64(median)
		l.decrease(min(max(excess, strongDecrease), slowDecrease), c, now)
	case l.isOn && isBinding:
		l.increase(arrivals, c)
	}
}

// goal returns the time at the endpoints up to which requests do not queue there too long.
func (l *limit) goal(target timekeeper.Millis) timekeeper.Millis {
	best := float64(l.times.bestTime())

	return timekeeper.Millis(best + max(queueShare*(float64(target)-best), minQueueShare*best))
}

// recordRejection lowers the limit after an endpoint has rejected a request because it is full.
func (l *limit) recordRejection(arrivals float64, c Capacity, now timekeeper.Millis) {
	isRepeated := l.wasRejected(now)
	l.rejectedAt = now
	l.rejectedShare += rejectionSmoothing * (1 - l.rejectedShare)
	if l.isOn {
		l.badAt = now
		l.decrease(rejectionDecrease, c, now)
	} else if isRepeated || c.isBusy() {
		l.enter(arrivals, c, now)
	}
}

// usable returns the number of requests that the endpoints take now whatever the limit, as far as this gateway knows.
func (l *limit) usable(c Capacity) int {
	if l.rejectedShare >= usableRejections {
		return c.Slots - c.Taken
	}

	return c.Spare
}

// wasRejected reports whether an endpoint has rejected a request not long ago.
func (l *limit) wasRejected(now timekeeper.Millis) bool {
	return l.rejectedAt > 0 && now-l.rejectedAt <= repeatedRejectionTime
}

// enter begins a shortage: the limit starts at what callers ask for, or an even share of the slots if that is more.
func (l *limit) enter(arrivals float64, c Capacity, now timekeeper.Millis) {
	l.isOn = true
	l.onSince, l.badAt, l.shortAt, l.decreasedAt, l.pacedAt = now, now, now, now, now
	l.value = max(l.wanted(arrivals), 2*l.least(c))
	if l.value < 1 {
		l.value = min(l.value*paceGain, 1)
	}
}

// wanted returns the number of requests under way that would serve all callers of this gateway if none queued at the endpoints.
func (l *limit) wanted(arrivals float64) float64 {
	best := l.times.bestTime()
	if best == 0 {
		best = defaultTime
	}

	return arrivals * float64(best) / float64(timekeeper.Second)
}

func (l *limit) increase(arrivals float64, c Capacity) {
	if c.isIdle() {
		l.value *= 2

		return
	}
	step := min(l.wanted(arrivals)/max(l.value, minLimit), l.value)
	l.value += growth * step * max(1-l.rejectedShare/toleratedRejections, 0)
}

// decrease lowers the limit, at most once in the time that a request takes at the endpoints.
func (l *limit) decrease(factor float64, c Capacity, now timekeeper.Millis) {
	if now-l.decreasedAt < 2*l.expectedTime() {
		return
	}
	l.decreasedAt = now
	l.times.forget()
	l.value = max(l.value*factor, l.least(c))
}

// least returns the lower bound of the limit: half of an even share of the slots, of which each endpoint has one at least.
func (l *limit) least(c Capacity) float64 {
	return max(minLimit, float64(max(c.Slots, c.Endpoints))/float64(2*max(c.Gateways, 1)))
}

// isBusy reports whether the service can be short of room, as far as this gateway knows.
func (c Capacity) isBusy() bool {
	return c.Slots > 0 && c.Spare == 0
}

// hasFree reports whether there are free slots, as far as this gateway knows.
func (c Capacity) hasFree() bool {
	return c.Slots > 0 && c.Taken < c.Slots
}

// isIdle reports whether the service certainly has room.
func (c Capacity) isIdle() bool {
	return c.Slots > 0 && float64(c.Taken) < idleShare*float64(c.Slots)
}
