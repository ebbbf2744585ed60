package deferrer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/timekeeper"
)

const (
	testGateways = 11
	testCallers  = 2000
	testStart    = timekeeper.Millis(1_700_000_000_000)
)

// refusedCaller is a caller that all gateways' refusals have left waiting.
type refusedCaller struct {
	timeout  timekeeper.Millis
	priority prioritizer.Priority
	refusal  int
	Return
}

// isBackWhenServed reports whether the caller comes back after the room has opened.
func (c *refusedCaller) isBackWhenServed(opens timekeeper.Millis) bool {
	return c.After >= opens
}

// refuseAll lets gateways refuse callers of several timeouts and priorities at the same moment and returns them.
func refuseAll(r *rand.Rand, gateways []*Deferrer, refuse func(c *refusedCaller) Refused) []refusedCaller {
	timeouts := []timekeeper.Millis{15_000, 12_000, 3000, 4000}
	callers := make([]refusedCaller, testCallers)
	for i := range callers {
		c := &callers[i]
		c.timeout, c.priority, c.refusal = timeouts[r.IntN(len(timeouts))], prioritizer.Priority(10*r.IntN(3)), i/len(gateways)
		c.Return = gateways[i%len(gateways)].Defer(refuse(c), testStart, r.Float64())
	}

	return callers
}

func newGateways(servedPerSecond int) []*Deferrer {
	gateways := make([]*Deferrer, testGateways)
	for i := range gateways {
		gateways[i] = NewDeferrer()
		for n := range 10 * servedPerSecond {
			gateways[i].RecordServed("s", testStart-10*timekeeper.Second+timekeeper.Millis(n*1000/max(servedPerSecond, 1)))
		}
	}

	return gateways
}

// peak returns the largest number of callers that come back within 100 ms.
func peak(callers []refusedCaller) int {
	counts := map[timekeeper.Millis]int{}
	most := 0
	for i := range callers {
		counts[callers[i].After/100]++
		most = max(most, counts[callers[i].After/100])
	}

	return most
}

// 2,000 callers are refused by 11 gateways at the same moment, and nobody knows when the room opens. Today all would come back together
// 500 ms later, and only those whom the room happens to be open for by then are served.
func TestUnforeseenReturnsUseTheCallersTime(t *testing.T) {
	for _, opens := range []timekeeper.Millis{300, 1700, 4000} {
		t.Run(fmt.Sprintf("room opens after %d ms", opens), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(opens)))
			callers := refuseAll(r, newGateways(0), func(c *refusedCaller) Refused { return Refused{IsUnforeseen: true, TimeLeft: c.timeout} })
			canWait, served := 0, 0
			for i := range callers {
				c := &callers[i]
				if c.After > c.timeout/3 || c.After < c.timeout/6 {
					t.Fatalf("a caller with %d ms comes back after %d", c.timeout, c.After)
				}
				if c.timeout/3 > opens {
					canWait++
				}
				if c.isBackWhenServed(opens) {
					served++
				}
			}
			if most := peak(callers); most > testCallers/8 {
				t.Errorf("%d callers come back within 100 ms", most)
			}
			if share := float64(served) / float64(max(canWait, 1)); share < map[timekeeper.Millis]float64{300: 1, 1700: 0.99, 4000: 0.35}[opens] {
				t.Errorf("%d of the %d callers that can wait so long are served", served, canWait)
			}
		})
	}
}

// The same callers are refused with a time that is known. None may come earlier, and those who can wait are spread over their time, the
// more urgent and the earlier refused first.
func TestForeseenReturnsKeepOrder(t *testing.T) {
	for _, opens := range []timekeeper.Millis{300, 1700, 4000} {
		t.Run(fmt.Sprintf("room opens after %d ms", opens), func(t *testing.T) {
			r := rand.New(rand.NewPCG(2, uint64(opens)))
			callers := refuseAll(r, newGateways(20), func(c *refusedCaller) Refused {
				return Refused{Service: "s", Priority: c.priority, Earliest: opens, TimeLeft: c.timeout}
			})
			var means [3]timekeeper.Millis
			var counts [3]timekeeper.Millis
			inTime := callers[:0:0]
			for _, c := range callers {
				if c.After < opens {
					t.Fatalf("a caller comes back after %d ms", c.After)
				}
				if c.timeout/3 <= opens {
					if c.After != opens || c.Window != 0 {
						t.Fatalf("a caller that cannot wait so long is told %+v", c.Return)
					}

					continue
				}
				if c.After > c.timeout/3 {
					t.Fatalf("a caller with %d ms comes back after %d", c.timeout, c.After)
				}
				inTime = append(inTime, c)
				if c.timeout == 15_000 {
					means[c.priority/10] += c.After
					counts[c.priority/10]++
				}
			}
			if most := peak(inTime); most > max(len(inTime)/4, 100) {
				t.Errorf("%d of %d callers come back within 100 ms", most, len(inTime))
			}
			for p := range means {
				means[p] /= counts[p]
			}
			if means[0] >= means[1] || means[1] >= means[2] {
				t.Errorf("callers come back after %v ms on average by priority", means)
			}
		})
	}
}

// Callers that one gateway refuses one after the other return in that order, as far apart as it serves.
func TestReturnsFollowTheOrderOfRefusal(t *testing.T) {
	d := newGateways(20)[0]
	r := rand.New(rand.NewPCG(3, 3))
	var at []timekeeper.Millis
	for n := range timekeeper.Millis(20) {
		c := d.Defer(Refused{Service: "s", Priority: 1, Earliest: 300, TimeLeft: 15_000}, testStart+n, r.Float64())
		at = append(at, n+c.After)
	}
	if !slices.IsSorted(at) {
		t.Errorf("callers come back after %v ms", at)
	}
	if span := at[len(at)-1] - at[0]; span < 1500 || span > 2500 {
		t.Errorf("20 callers of a service that answers 20 a second come back within %d ms, want about half of its answers", span)
	}
	urgent := d.Defer(Refused{Service: "s", Earliest: 300, TimeLeft: 15_000}, testStart+20, 0.5)
	if urgent.After > 500 {
		t.Errorf("an urgent caller comes back after %d ms, behind the others", urgent.After)
	}
	if d.Out(testStart+20) != 21 || d.Out(testStart+10_000) != 0 {
		t.Errorf("%d and %d callers are to come back, want 21 and none", d.Out(testStart+20), d.Out(testStart+10_000))
	}
}

// A caller with little time is told nothing that it cannot use.
func TestShortDeadline(t *testing.T) {
	d := NewDeferrer()
	for range 100 {
		if c := d.Defer(Refused{IsUnforeseen: true, TimeLeft: 600}, testStart, rand.Float64()); c.After < 100 || c.After > 200 {
			t.Fatalf("a caller with 600 ms comes back after %d", c.After)
		}
		if c := d.Defer(Refused{Service: "s", Earliest: 50, TimeLeft: 600}, testStart, rand.Float64()); c.After < 50 || c.After > 200 {
			t.Fatalf("a caller with 600 ms comes back after %d", c.After)
		}
		if c := d.Defer(Refused{Service: "s", Earliest: 900, TimeLeft: 600}, testStart, rand.Float64()); c.After != 900 {
			t.Fatalf("a caller with 600 ms is told %d ms, want the true 900", c.After)
		}
	}
	if c := d.Defer(Refused{IsUnforeseen: true}, testStart, 0.5); c.After < timekeeper.Second || c.After > 2*timekeeper.Second {
		t.Errorf("a caller that tells no time comes back after %d ms", c.After)
	}
}

// Gateways restart while callers wait: nothing is shared or kept, and the second half of the callers is spread as the first.
func TestRestartInBetween(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	refuse := func(*refusedCaller) Refused { return Refused{Service: "s", Earliest: 300, TimeLeft: 15_000} }
	callers := refuseAll(r, newGateways(20), refuse)
	callers = append(callers, refuseAll(r, newGateways(0), refuse)...)
	for i := range callers {
		if c := &callers[i]; c.After < 300 || c.After > 5000 {
			t.Fatalf("a caller comes back after %d ms", c.After)
		}
	}
	if most := peak(callers); most > len(callers)/10 {
		t.Errorf("%d of %d callers come back within 100 ms", most, len(callers))
	}
}

// The configuration arrives while callers wait: those refused from then on get a time of their service, and are kept apart from nobody
// else's.
func TestConfigurationArrivesInTheMiddle(t *testing.T) {
	d := NewDeferrer()
	for range 500 {
		d.Defer(Refused{IsUnforeseen: true, TimeLeft: 15_000}, testStart, rand.Float64())
	}
	c := d.Defer(Refused{Service: "s", Earliest: 100, TimeLeft: 15_000}, testStart+timekeeper.Second, 0.5)
	if c.After > 100+maxSpacing {
		t.Errorf("the first caller refused for room comes back after %d ms", c.After)
	}
}

// A clock that steps in either direction leaves returns within bounds, and what was counted before does not stay for ever.
func TestClockSteps(t *testing.T) {
	for _, step := range []timekeeper.Millis{-timekeeper.Hour, -timekeeper.Second, timekeeper.Second, timekeeper.Hour} {
		d := newGateways(20)[0]
		for range 200 {
			d.Defer(Refused{Service: "s", Earliest: 300, TimeLeft: 15_000}, testStart, rand.Float64())
		}
		for range 200 {
			c := d.Defer(Refused{Service: "s", Earliest: 300, TimeLeft: 15_000}, testStart+step, rand.Float64())
			if c.After < 300 || c.After > 5000 {
				t.Fatalf("step of %d ms: a caller comes back after %d ms", step, c.After)
			}
		}
		if out := d.Out(testStart + step + 10_000); out != 0 && step > 0 {
			t.Errorf("step of %d ms: %d callers stay out", step, out)
		}
	}
}

// A configuration of very many services does not make the gateway count without bound.
func TestServicesAreBounded(t *testing.T) {
	d := NewDeferrer()
	for n := range 2 * maxServices {
		d.RecordServed(model.ServiceID(fmt.Sprint(n)), testStart)
	}
	if len(d.services) > maxServices+1 {
		t.Errorf("counts for %d services", len(d.services))
	}
}

// A service whose routes have more priorities than are told apart keeps the order of those that are far apart.
func TestManyPriorities(t *testing.T) {
	d := NewDeferrer()
	for p := range prioritizer.Priority(50) {
		d.Defer(Refused{Service: "s", Priority: 100 * p, Earliest: 100, TimeLeft: 15_000}, testStart, rand.Float64())
	}
	if out := d.Out(testStart); out != 50 {
		t.Errorf("%d callers are to come back, want 50", out)
	}
	urgent := d.Defer(Refused{Service: "s", Priority: 1, Earliest: 100, TimeLeft: 15_000}, testStart, 0.5)
	others := d.Defer(Refused{Service: "s", Priority: 4900, Earliest: 100, TimeLeft: 15_000}, testStart, 0.5)
	if urgent.After >= others.After {
		t.Errorf("an urgent caller comes back after %d ms, others after %d", urgent.After, others.After)
	}
}
