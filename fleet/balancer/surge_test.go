package balancer

import (
	"container/heap"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// surge is a load of few sessions that begins suddenly at all gateways, and ends so: one client account that sends many times its usual.
type surge struct {
	from, until         timekeeper.Millis
	perSecond, sessions int
	// counted is when requests over the bound are first counted.
	counted timekeeper.Millis
	// restart is when every fourth gateway starts anew and its requests are lost, zero for never.
	restart timekeeper.Millis
}

func (s surge) isOn(now timekeeper.Millis) bool { return now >= s.from && now < s.until }

// rate returns the request rate of the fleet.
func (l fleetLoad) rate(now timekeeper.Millis) int {
	if l.surge.isOn(now) {
		return l.perSecond + l.surge.perSecond
	}

	return l.perSecond
}

// restartGateways starts every fourth gateway anew. Its running requests are broken off.
func (r *fleetRun) restartGateways() {
	const each = 4
	kept := r.running[:0]
	for _, e := range r.running {
		if e.gateway%each == 0 {
			r.loads[e.endpoint]--
		} else {
			kept = append(kept, e)
		}
	}
	r.running = kept
	heap.Init(&r.running)
	for g := 0; g < r.gateways; g += each {
		r.balancers[g] = r.newBalancer(g)
	}
}

// checkSurges plays surges on 20 gateways before 39 engines.
func checkSurges(t *testing.T, surges ...surge) {
	t.Helper()
	for _, s := range surges {
		checkOverShare(t, fleetLoad{gateways: 20, domains: 3, perDomain: 13, sessions: 480, perSecond: 240, duration: 1000, isWhole: true, surge: s})
	}
}

const (
	// surgeStart leaves the five seconds for which the bound is counted before testEnd.
	surgeStart = testEnd - 5*timekeeper.Second
	surgeTime  = 4 * timekeeper.Second
)

// Guards against endpoints that hold too much because all gateways send what begins suddenly to the same ones, each for itself within the
// bound by reports from before.
func TestSurgeOfOneAccountKeepsTheLoadBound(t *testing.T) {
	checkSurges(t,
		surge{from: surgeStart, until: testEnd, counted: surgeStart, perSecond: 750, sessions: 24},
		surge{from: surgeStart, until: surgeStart + 3*timekeeper.Second, counted: surgeStart, perSecond: 400, sessions: 12})
}

// The bound also has to hold when the surge ends: the mean falls while reports tell of more.
func TestEndOfSurgeKeepsTheLoadBound(t *testing.T) {
	checkSurges(t,
		surge{from: surgeStart - surgeTime, until: surgeStart, counted: surgeStart, perSecond: 750, sessions: 24},
		surge{from: surgeStart - surgeTime, until: surgeStart, counted: surgeStart, perSecond: 400, sessions: 12})
}

// Gateways that start anew amid a surge know no reports and no own starts; the bound has to hold all the same.
func TestGatewaysThatRestartInSurgeKeepTheLoadBound(t *testing.T) {
	checkSurges(t,
		surge{from: surgeStart, until: testEnd, counted: surgeStart, restart: surgeStart + timekeeper.Second, perSecond: 750, sessions: 24})
}
