package budgeter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	schedules = 100
	endpoint  = model.EndpointID("cold")
	service   = model.ServiceID("service")
	step      = 10 * timekeeper.Millis(1)
	steps     = 2500
)

// gateway is one process in a random schedule: it learns of others late, freezes for a while and loses its state on
// restarts.
type gateway struct {
	name       string
	membership *Membership
	coldStarts *ColdStartLimiter
	retries    *RetryBudget
	limits     *EndpointLimiter
	// frozenUntil is when the process runs again.
	frozenUntil timekeeper.Millis
	startTimes  []timekeeper.Millis
}

type fleet struct {
	random   *rand.Rand
	limits   RetryLimits
	gateways []*gateway
	names    []string
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		limits: RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * timekeeper.Second},
	}
	for n := range 2 + f.random.IntN(30) {
		f.names = append(f.names, fmt.Sprintf("gateway-%d", n))
	}
	for n := range f.names {
		f.gateways = append(f.gateways, f.start(n, 0))
	}

	return f
}

func (f *fleet) start(n int, now timekeeper.Millis) *gateway {
	seeds := f.names[:min(3, len(f.names))]

	return &gateway{
		name: f.names[n], membership: NewMembership(f.names[n], seeds, now),
		coldStarts: NewColdStartLimiter(f.names[n]), retries: NewRetryBudget(f.limits),
		limits: NewEndpointLimiter(f.names[n]),
	}
}

// exchange lets two random gateways send each other the members that they advertise, unless one of them is frozen.
func (f *fleet) exchange(now timekeeper.Millis) {
	a := f.gateways[f.random.IntN(len(f.gateways))]
	b := f.gateways[f.random.IntN(len(f.gateways))]
	if a == b || a.frozenUntil > now || b.frozenUntil > now {
		return
	}
	fromA, fromB := a.membership.Confirmed(now), b.membership.Confirmed(now)
	a.membership.Add(fromB, now)
	b.membership.Add(fromA, now)
	a.membership.RecordExchange(b.name, now)
	b.membership.RecordExchange(a.name, now)
	for _, n := range a.limits.Share(1, now) {
		b.limits.Merge(n)
	}
	for _, n := range b.limits.Share(1, now) {
		a.limits.Merge(n)
	}
}

// gossip starts an exchange for each gateway every 250 ms on average.
func (f *fleet) gossip(now timekeeper.Millis) {
	const stepsPerExchange = 25
	for range f.gateways {
		if f.random.IntN(stepsPerExchange) == 0 {
			f.exchange(now)
		}
	}
}

// injectFault restarts or freezes a random gateway, or restarts all gateways at once, in 3 of 400 calls.
func (f *fleet) injectFault(now timekeeper.Millis) {
	n := f.random.IntN(len(f.gateways))
	switch f.random.IntN(400) {
	case 0:
		f.restart(n, now)
	case 1:
		f.gateways[n].frozenUntil = now + timekeeper.Millis(f.random.IntN(5000))
	case 2:
		for n := range f.gateways {
			f.restart(n, now)
		}
	}
}

// restart replaces a gateway's process, but at most twice within two retry windows.
func (f *fleet) restart(n int, now timekeeper.Millis) {
	startTimes := append(f.gateways[n].startTimes, now)
	if len(startTimes) > 2 && now-startTimes[len(startTimes)-3] < 2*f.limits.Window {
		return
	}
	f.gateways[n] = f.start(n, now)
	f.gateways[n].startTimes = startTimes
}

// maxInWindow returns the largest number of events in any window of the given length.
func maxInWindow(events []timekeeper.Millis, length timekeeper.Millis) int {
	largest, from := 0, 0
	for i, at := range events {
		for events[from] <= at-length {
			from++
		}
		largest = max(largest, i-from+1)
	}

	return largest
}

// Guards against gateways that together exceed the rate of a cold endpoint while they join, restart, freeze or know only
// some of the others.
func TestColdStartLimitHoldsOverAllGateways(t *testing.T) {
	const perSecond = 12
	for seed := range uint64(schedules) {
		f := newFleet(seed)
		var sent []timekeeper.Millis
		for n := range steps {
			now := timekeeper.Millis(n) * step
			f.injectFault(now)
			f.gossip(now)
			for _, g := range f.gateways {
				share := g.coldStarts.Share(endpoint, perSecond, g.membership.SettledMembers(now))
				if g.frozenUntil <= now && g.coldStarts.HasQuota(endpoint, share, now) {
					g.coldStarts.RecordRequest(endpoint, now)
					sent = append(sent, now)
				}
			}
		}
		if got := maxInWindow(sent, timekeeper.Second); got > perSecond*3/2+5 {
			t.Fatalf("seed %d: %d requests to a cold endpoint in a second from %d gateways", seed, got, len(f.gateways))
		}
		if len(sent) == 0 {
			t.Fatalf("seed %d: no request was sent to the cold endpoint", seed)
		}
	}
}

// Guards against gateways that together exceed the operators' retry limits: the retries in any window must stay within the
// ratio of the largest number of requests in any window, plus the slack.
func TestRetryBudgetHoldsOverAllGateways(t *testing.T) {
	for seed := range uint64(schedules) {
		f := newFleet(seed)
		var requests, retries []timekeeper.Millis
		for n := range steps {
			now := timekeeper.Millis(n) * step
			f.injectFault(now)
			f.gossip(now)
			g := f.gateways[f.random.IntN(len(f.gateways))]
			if g.frozenUntil > now {
				continue
			}
			g.retries.RecordRequest(service, now)
			requests = append(requests, now)
			for range 3 {
				if g.retries.TrySpend(service, Draw{Gateways: len(g.membership.SettledMembers(now))}, now) {
					retries = append(retries, now)
				}
			}
		}
		limit := f.limits.Ratio*float64(maxInWindow(requests, f.limits.Window)) + f.limits.Slack
		if got := maxInWindow(retries, f.limits.Window); float64(got) > limit {
			t.Fatalf("seed %d: %d retries in a window, limit %.0f", seed, got, limit)
		}
	}
}

// Guards against two failures: VMs that are replaced every day hold shares forever because their peers keep naming them, or
// a short silence already frees a share.
func TestReplacedGatewaysExpire(t *testing.T) {
	a, b := NewMembership("a", nil, 0), NewMembership("b", nil, 0)
	exchange := func(now timekeeper.Millis) {
		fromA, fromB := a.Confirmed(now), b.Confirmed(now)
		a.Add(fromB, now)
		b.Add(fromA, now)
		a.RecordExchange("b", now)
		b.RecordExchange("a", now)
	}
	a.Add([]string{"replaced"}, 1)
	a.RecordExchange("replaced", 1)
	for now := timekeeper.Second; now < 2*(confirmedLifetime+memberLifetime); now += timekeeper.Second {
		exchange(now)
		a.RemoveExpired(now)
		b.RemoveExpired(now)
		isMember := len(b.Members()) == 3 && len(a.Members()) == 3
		if now < memberLifetime && !isMember {
			t.Fatalf("replaced gateway removed after %d ms, too early", now)
		}
		if now > confirmedLifetime+memberLifetime+timekeeper.Second && isMember {
			t.Fatalf("replaced gateway still a member after %d ms", now)
		}
	}
	if got := len(a.Members()); got != 2 {
		t.Fatalf("%d members, want the 2 live gateways", got)
	}
}
