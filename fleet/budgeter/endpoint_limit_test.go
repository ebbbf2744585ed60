package budgeter

import (
	"math"
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	limitWindow = 4 * timekeeper.Second
	// limitContactTime is how long after its first advertisement a limit counts.
	limitContactTime = 3 * timekeeper.Second
)

var limitedProcess = model.EndpointProcess{ID: endpoint, StartedAt: 1}

func advertisedAt(perSecond float64, at timekeeper.Millis) LimitNotice {
	return LimitNotice{Endpoint: limitedProcess, PerSecond: perSecond, IsAdvertised: true, At: at}
}

// limitedEndpoint is an endpoint of a random schedule that advertises a limit in its answers.
type limitedEndpoint struct {
	perSecond float64
	arrivals  []timekeeper.Millis
}

// answer returns what the endpoint says of its limit when a gateway's request arrives.
func (e *limitedEndpoint) answer(now timekeeper.Millis) LimitNotice {
	e.arrivals = append(e.arrivals, now)

	return advertisedAt(e.perSecond, now)
}

// runLimited lets all gateways of a fleet send to one endpoint whenever they may, for a number of steps.
func (f *fleet) runLimited(e *limitedEndpoint, steps int, hasFaults bool) {
	for n := range steps {
		now := timekeeper.Millis(n+1) * step
		if hasFaults {
			f.injectFault(now)
		}
		f.gossip(now)
		for _, g := range f.gateways {
			if g.frozenUntil > now || f.random.IntN(3) > 0 {
				continue
			}
			if g.limits.Wait(limitedProcess, g.membership.SettledMembers(now), now) == 0 {
				g.limits.RecordRequest(endpoint, now)
				g.limits.RecordAnswer(e.answer(now), now)
			}
		}
	}
}

// countAfter drops the events before a time.
func countAfter(events []timekeeper.Millis, from timekeeper.Millis) []timekeeper.Millis {
	var later []timekeeper.Millis
	for _, at := range events {
		if at >= from {
			later = append(later, at)
		}
	}

	return later
}

// Guards against gateways that together send more than an endpoint's limit while they join, freeze or restart.
func TestEndpointLimitHoldsOverAllGateways(t *testing.T) {
	for seed := range uint64(schedules) {
		f := newFleet(seed)
		e := &limitedEndpoint{perSecond: float64(1+f.random.IntN(60)) / 8}
		f.runLimited(e, steps, true)
		// A gateway that has just started may send one request before it has learned of the limit.
		starts := 0
		for _, g := range f.gateways {
			starts += len(g.startTimes)
		}
		allowed := int(1.5*e.perSecond*float64(limitWindow)/float64(timekeeper.Second)) + 5 + starts
		if got := maxInWindow(countAfter(e.arrivals, limitContactTime), limitWindow); got > allowed {
			t.Fatalf("seed %d: %d requests in 4 s from %d gateways at %g a second, %d allowed",
				seed, got, len(f.gateways), e.perSecond, allowed)
		}
	}
}

// Without faults the bound holds without allowance, and the limit is used.
func TestEndpointLimitIsUsed(t *testing.T) {
	for seed := range uint64(schedules) {
		f := newFleet(seed)
		e := &limitedEndpoint{perSecond: float64(2+f.random.IntN(60)) / 8}
		f.runLimited(e, 2*steps, false)
		arrivals := countAfter(e.arrivals, limitContactTime)
		allowed := int(1.5*e.perSecond*float64(limitWindow)/float64(timekeeper.Second)) + 5
		if got := maxInWindow(arrivals, limitWindow); got > allowed {
			t.Fatalf("seed %d: %d requests in 4 s from %d gateways at %g a second, %d allowed",
				seed, got, len(f.gateways), e.perSecond, allowed)
		}
		span := float64(2*steps*step-limitContactTime) / float64(timekeeper.Second)
		if rate := float64(len(arrivals)) / span; rate < 0.8*e.perSecond {
			t.Errorf("seed %d: %.2f of %.2f requests a second from %d gateways", seed, rate, e.perSecond, len(f.gateways))
		}
	}
}

// What all gateways have saved up and what accrues must fit into the bound of any limit and number of gateways, with room for
// a few that divide it differently.
func TestSharesOfLimitFitIntoBound(t *testing.T) {
	const seconds, margin = 4, 2
	for gateways := 1; gateways <= 410; gateways++ {
		for eighths := range 100 {
			perSecond := max(float64(eighths)/8, minLimit)
			holders, burst := divide(perSecond, gateways)
			most := float64(holders)*burst + seconds*perSecond
			if allowed := 1.5*seconds*perSecond + 5; most+margin > allowed {
				t.Fatalf("%d gateways, %g a second: %.1f requests in 4 s, %.1f allowed", gateways, perSecond, most, allowed)
			}
			if holders < 1 || burst < 1 {
				t.Fatalf("%d gateways, %g a second: %d holders, burst %g", gateways, perSecond, holders, burst)
			}
		}
	}
}

func TestVeryHighLimitDoesNotBlock(t *testing.T) {
	const now = 200
	for _, perSecond := range []float64{1e9, math.MaxFloat64} {
		l := NewEndpointLimiter("a")
		l.Merge(advertisedAt(perSecond, 100))
		if wait := l.Wait(limitedProcess, []string{"a", "b", "c"}, now); wait != 0 {
			t.Errorf("%g a second: wait of %d ms", perSecond, wait)
		}
	}
}

func TestLimitFollowsTheNewestNotice(t *testing.T) {
	gateways := []string{"a"}
	notAdvertised := func(at timekeeper.Millis) LimitNotice { return LimitNotice{Endpoint: limitedProcess, At: at} }
	restarted := model.EndpointProcess{ID: endpoint, StartedAt: 2}
	cases := []struct {
		name      string
		record    func(l *EndpointLimiter) bool
		process   model.EndpointProcess
		isLimited bool
		isChange  bool
	}{
		{"advertised", func(*EndpointLimiter) bool { return true }, limitedProcess, true, true},
		{"advertised again", func(l *EndpointLimiter) bool { return l.RecordAnswer(advertisedAt(2, 200), 150) }, limitedProcess, true, false},
		{"another limit", func(l *EndpointLimiter) bool { return l.RecordAnswer(advertisedAt(3, 200), 150) }, limitedProcess, true, true},
		{"not advertised any more", func(l *EndpointLimiter) bool { return l.RecordAnswer(notAdvertised(200), 150) }, limitedProcess, false, true},
		{"an overtaken answer", func(l *EndpointLimiter) bool { return l.RecordAnswer(notAdvertised(200), 100) }, limitedProcess, true, false},
		{"older news of its end", func(l *EndpointLimiter) bool { return l.Merge(notAdvertised(90)) }, limitedProcess, true, false},
		{"newer news of its end", func(l *EndpointLimiter) bool { return l.Merge(notAdvertised(110)) }, limitedProcess, false, true},
		{"another process under its id", func(*EndpointLimiter) bool { return true }, restarted, false, true},
		{"news of the process before", func(l *EndpointLimiter) bool {
			l.RecordAnswer(LimitNotice{Endpoint: restarted, At: 150}, 140)

			return l.Merge(advertisedAt(2, 300))
		}, restarted, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewEndpointLimiter("a")
			if !l.RecordAnswer(advertisedAt(2, 100), 50) {
				t.Fatal("the first notice is no change")
			}
			if got := c.record(l); got != c.isChange {
				t.Errorf("change: %v", got)
			}
			if got := l.Wait(c.process, gateways, 200) > 0; got != c.isLimited {
				t.Errorf("limited: %v", got)
			}
		})
	}
}

// A gateway without a share must find out in the end that a limit has ended, and not together with all others.
func TestGatewaysWithoutShareTryInTurn(t *testing.T) {
	const gateways, perSecond = 400, 2.0
	var names []string
	for n := range gateways {
		names = append(names, string(rune('a'+n%26))+string(rune('a'+n/26)))
	}
	var tries []timekeeper.Millis
	for _, name := range names {
		l := NewEndpointLimiter(name)
		l.Merge(advertisedAt(perSecond, 0))
		if holders, _ := divide(perSecond, gateways); rank(endpoint, name, names) >= holders {
			tries = append(tries, l.Wait(limitedProcess, names, 0))
		}
	}
	if len(tries) < gateways*9/10 {
		t.Fatalf("%d gateways without a share", len(tries))
	}
	for _, at := range tries {
		if at < staleAfter {
			t.Fatalf("a gateway without a share tries after %d ms", at)
		}
	}
	perWindow := map[timekeeper.Millis]int{}
	for _, at := range tries {
		perWindow[at/limitWindow]++
	}
	for _, count := range perWindow {
		if count > int(perSecond)+1 {
			t.Fatalf("%d tries in 4 s", count)
		}
	}
}
