package prioritizer

import (
	"fmt"
	"testing"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// testKinds returns kinds of requests of three priorities, the most urgent first.
func testKinds() []*kind {
	return []*kind{
		{priority: 0, tokens: 800, perSecond: 90, target: 400, deadline: 6 * timekeeper.Second},
		{priority: 1, tokens: 700, perSecond: 100, target: 400, deadline: 3 * timekeeper.Second},
		{priority: 2, tokens: 2500, perSecond: 60, target: 1500, deadline: 8 * timekeeper.Second},
	}
}

func same(times float64) func(int) float64 { return func(int) float64 { return times } }

// only returns a function by which one account sends a multiple of its usual.
func only(account int, times float64) func(int) float64 {
	return func(n int) float64 {
		if n == account {
			return times
		}

		return 1
	}
}

// byKind returns a function that counts requests by kind, and the counts.
func byKind() (func(*kind, int) *tally, map[*kind]*tally) {
	counts := map[*kind]*tally{}

	return func(k *kind, _ int) *tally {
		if counts[k] == nil {
			counts[k] = &tally{}
		}

		return counts[k]
	}, counts
}

// byAccount returns a function that counts requests of one account and of all others.
func byAccount(account int) (count func(*kind, int) *tally, own, others *tally) {
	own, others = &tally{}, &tally{}

	return func(_ *kind, n int) *tally {
		if n == account {
			return own
		}

		return others
	}, own, others
}

// In a surge of four times the requests, the most urgent kind keeps its calm service, no kind keeps less of it than a less urgent one, and
// a part of the least urgent requests is served. Without priorities the same load costs urgent requests more.
func TestSurgeCostsUrgentRequestsLeast(t *testing.T) {
	const slack = 0.02
	kept := func(scale Scale, seed uint64) (kept, served []float64) {
		kinds := testKinds()
		f := newFleet(scale, kinds, seed)
		count, calm := byKind()
		f.run(15*timekeeper.Second, same(1), count)
		count, surge := byKind()
		f.run(15*timekeeper.Second, same(4), count)
		for _, k := range kinds {
			kept = append(kept, surge[k].share()/calm[k].share())
			served = append(served, float64(surge[k].served)/float64(surge[k].sent))
		}

		return kept, served
	}
	for seed := range uint64(3) {
		got, served := kept(newTestScale(0, 1, 2), seed)
		for i := 1; i < len(got); i++ {
			if got[i] > got[i-1]+slack {
				t.Errorf("seed %d: kept %.3f by priority", seed, got)
			}
		}
		if got[0] < 0.95 {
			t.Errorf("seed %d: the most urgent requests keep %.3f", seed, got[0])
		}
		if least := served[2]; least < promotedShare/2 {
			t.Errorf("seed %d: %.3f of the least urgent requests served", seed, least)
		}
		if got, _ := kept(newTestScale(0), seed); got[0] > got[2] {
			t.Errorf("seed %d: kept %.3f without priorities: the load shows nothing", seed, got)
		}
	}
}

// One account that sends forty times its usual at all gateways loses its own requests; the others keep what they had to within 5 %, also
// if all gateways restart in the surge with empty counters, if half of them do, or if a quarter of the engines are lost.
func TestHotAccountCostsItself(t *testing.T) {
	for name, breakOff := range map[string]func(*fleet){
		"undisturbed":              func(*fleet) {},
		"all gateways restart":     func(f *fleet) { f.restart(testGateways) },
		"half of gateways restart": func(f *fleet) { f.restart(testGateways / 2) },
		"engines lost":             func(f *fleet) { f.engine.tokensPerMs *= 0.75 },
	} {
		for _, account := range []int{0, 1, 3} {
			kept, own := playHotAccount(account, newTestScale(0, 1, 2), breakOff)
			if kept < 0.95 || own > kept {
				t.Errorf("%s, account %d: others keep %.3f of their calm service, its own %.3f", name, account, kept, own)
			}
			if kept, _ := playHotAccount(account, newTestScale(0), breakOff); kept > 0.95 {
				t.Errorf("%s, account %d: others keep %.3f without priorities: the load shows nothing", name, account, kept)
			}
		}
	}
}

// playHotAccount returns the shares of their calm service that other accounts, and a hot one, keep.
func playHotAccount(account int, scale Scale, breakOff func(*fleet)) (others, own float64) {
	f := newFleet(scale, testKinds(), 1)
	count, ownCalm, othersCalm := byAccount(account)
	f.run(20*timekeeper.Second, same(1), count)
	count, ownSurge, othersSurge := byAccount(account)
	f.run(7*timekeeper.Second, only(account, 40), count)
	breakOff(f)
	f.run(13*timekeeper.Second, only(account, 40), count)

	return othersSurge.share() / othersCalm.share(), ownSurge.share() / ownCalm.share()
}

// Idle shares are lent: while engines have room, an account is served in time however much of the traffic is its, and no service is short.
// After a surge this holds again within maxSilence.
func TestIdleSharesAreLent(t *testing.T) {
	f := newFleet(newTestScale(0, 1, 2), testKinds(), 1)
	short := map[*Prioritizer]bool{}
	for _, p := range f.gateways {
		p.OnShortage = func(_ model.ServiceID, isShort bool) { short[p] = isShort }
	}
	count, own, _ := byAccount(3)
	f.run(10*timekeeper.Second, only(3, 12), count)
	if len(short) > 0 || own.onTime != own.served {
		t.Errorf("%d gateways short, %d of %d requests in time while engines have room", len(short), own.onTime, own.served)
	}
	f.run(5*timekeeper.Second, same(5), count)
	if len(short) != testGateways {
		t.Errorf("%d of %d gateways have seen a surge", len(short), testGateways)
	}
	f.run(8*timekeeper.Second+maxSilence, same(1), count)
	for _, p := range f.gateways {
		p.Expire(f.now)
		if short[p] || p.IsShort(testService) {
			t.Error("a gateway is short after the surge")
		}
	}
}

// Operators exchange the priorities of two kinds in a surge: from then on the other kind comes first.
func TestChangeOfPrioritiesInSurge(t *testing.T) {
	kinds := testKinds()
	f := newFleet(newTestScale(0, 1, 2), kinds, 1)
	count, _ := byKind()
	f.run(10*timekeeper.Second, same(1), count)
	f.run(10*timekeeper.Second, same(4), count)
	kinds[0].priority, kinds[2].priority = 7, -1
	f.scale = newTestScale(-1, 1, 7)
	f.run(8*timekeeper.Second, same(4), count)
	count, counts := byKind()
	f.run(10*timekeeper.Second, same(4), count)
	if now, before := counts[kinds[2]].share(), counts[kinds[0]].share(); now <= before {
		t.Errorf("%.3f of what is most urgent now in time, %.3f of what was", now, before)
	}
}

// Some continuations of streams are not demoted, whatever else their account has sent; an account that pretends to send nothing else is.
func TestContinuationsHaveAShareOfTheirOwn(t *testing.T) {
	const (
		begin             = 4 * timekeeper.Second
		continuationEvery = 50
	)
	p := NewPrioritizer()
	scale := newTestScale(0, 1, 2)
	demoted := map[model.AccountID]int{}
	decide := func(account model.AccountID, isContinuation bool, now timekeeper.Millis) Decision {
		r := Request{Service: testService, Account: account, Priority: 1, Tokens: 1000, IsContinuation: isContinuation}
		d := p.Decide(scale, r, now)
		if d.IsDemoted {
			demoted[account]++
		}

		return d
	}
	for now := range 8 * timekeeper.Second {
		if now%continuationEvery == 0 {
			p.RecordAnswer(Request{Service: testService, Tokens: 10_000}, Decision{}, now)
		}
		if now < begin {
			continue
		}
		decide("hot", false, now)
		decide("pretender", true, now)
		if now%continuationEvery == 0 {
			if d := decide("hot", true, now); d.IsDemoted || d.Level > scale.level(1, withinShare) {
				t.Fatalf("at %d ms a continuation has %+v", now, d)
			}
		}
	}
	if demoted["hot"] == 0 || demoted["pretender"] == 0 {
		t.Errorf("%d first attempts and %d pretended continuations demoted", demoted["hot"], demoted["pretender"])
	}
}

// State is bounded whatever accounts come, and accounts and services that have left are forgotten.
func TestStateIsBounded(t *testing.T) {
	p := NewPrioritizer()
	scale := newTestScale(0, 1)
	now := timekeeper.Millis(1)
	for n := range 5 * maxAccounts {
		p.Decide(scale, Request{Service: testService, Account: model.AccountID(fmt.Sprint(n)), Tokens: 10}, now)
		if n%maxAccounts == maxAccounts-1 {
			now += generationLength
		}
	}
	w := p.services[testService].window
	for i := range w.generations {
		if got := len(w.generations[i].accounts); got > maxAccounts {
			t.Errorf("%d accounts in a part of the window", got)
		}
	}
	if got := len(w.usual.accounts); got == 0 || got > maxAccounts {
		t.Errorf("%d accounts with usual tokens", got)
	}
	for range 100 {
		now += generationLength
		p.Decide(scale, Request{Service: testService, Account: "rest", Tokens: 10}, now)
	}
	if got := len(w.usual.accounts); got != 1 {
		t.Errorf("%d accounts known after all but one have left", got)
	}
	p.Expire(now + serviceLifetime)
	if len(p.services) != 0 {
		t.Error("a service without requests is known for ever")
	}
}

// Equal priorities leave requests as they are and cost no state.
func TestNothingChangesWithoutDifferentPriorities(t *testing.T) {
	p := NewPrioritizer()
	scale := NewScale(newTestConfiguration(map[string]cataloguer.Account{"k": {ID: "a"}}, 2, 2), testService)
	if d := p.Decide(scale, Request{Service: testService, Account: "a", Priority: 2, Tokens: 10}, 1); d != (Decision{Level: NoLevel}) {
		t.Errorf("decided %+v", d)
	}
	if len(p.services) != 0 {
		t.Error("state is kept")
	}
}
