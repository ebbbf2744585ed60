package prioritizer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// kind is a kind of request. Its target and deadline count from the arrival.
type kind struct {
	priority         Priority
	tokens           float64
	perSecond        float64
	target, deadline timekeeper.Millis
}

// fakeRequest waits at the engine or has been answered.
type fakeRequest struct {
	Request
	kind     *kind
	gateway  *Prioritizer
	decision Decision
	arrival  timekeeper.Millis
}

// tally counts requests by what became of them.
type tally struct{ sent, onTime, served int }

// share returns the share of requests that were answered in time.
func (t *tally) share() float64 { return float64(t.onTime) / float64(max(t.sent, 1)) }

// fakeEngine answers the most urgent of its waiting requests first, tokensPerMs in a millisecond.
type fakeEngine struct {
	tokensPerMs float64
	credit      float64
	waiting     []*fakeRequest
	answer      func(*fakeRequest)
}

func (e *fakeEngine) add(r *fakeRequest) {
	i, _ := slices.BinarySearchFunc(e.waiting, r.decision.Level+1, func(w *fakeRequest, l EngineLevel) int { return cmp.Compare(w.decision.Level, l) })
	e.waiting = slices.Insert(e.waiting, i, r)
}

func (e *fakeEngine) work(now timekeeper.Millis) {
	e.credit = min(e.credit+e.tokensPerMs, 100*e.tokensPerMs)
	for len(e.waiting) > 0 && e.credit >= e.waiting[0].Tokens {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if now-r.arrival < r.kind.deadline {
			e.credit -= r.Tokens
			e.answer(r)
		}
	}
}

// fleet sends requests of all kinds and accounts through gateways to one engine, from time 1.
type fleet struct {
	scale    Scale
	kinds    []*kind
	gateways []*Prioritizer
	engine   fakeEngine
	now      timekeeper.Millis
	random   *rand.Rand
	counts   func(kind *kind, account int) *tally
}

const (
	testGateways = 20
	testAccounts = 24
)

// newFleet returns a fleet whose engine is used to calmUse of what it can do in calm.
func newFleet(scale Scale, kinds []*kind, seed uint64) *fleet {
	const calmUse = 0.4
	f := &fleet{scale: scale, kinds: kinds, now: 1, random: rand.New(rand.NewPCG(seed, 0))}
	for range testGateways {
		f.gateways = append(f.gateways, NewPrioritizer())
	}
	for _, k := range kinds {
		f.engine.tokensPerMs += k.tokens * k.perSecond / float64(timekeeper.Second) / calmUse
	}
	f.engine.answer = func(r *fakeRequest) {
		isLate := f.now-r.arrival > r.kind.target
		r.gateway.RecordAnswer(r.Request, r.decision, f.now)
		t := f.counts(r.kind, accountNumber(r.Account))
		t.served++
		if !isLate {
			t.onTime++
		}
	}

	return f
}

func accountID(n int) model.AccountID      { return model.AccountID(rune('a' + n)) }
func accountNumber(id model.AccountID) int { return int(id[0] - 'a') }

// usualShares returns the shares of the usual traffic that accounts send; a few are large.
func usualShares() (shares [testAccounts]float64) {
	total := 0.0
	for n := range shares {
		shares[n] = math.Pow(float64(n+1), -1.2)
		total += shares[n]
	}
	for n := range shares {
		shares[n] /= total
	}

	return shares
}

// run plays some time.
func (f *fleet) run(duration timekeeper.Millis, times func(account int) float64, counts func(*kind, int) *tally) {
	f.counts = counts
	shares := usualShares()
	for end := f.now + duration; f.now < end; f.now++ {
		for _, k := range f.kinds {
			for n := range testAccounts {
				for rest := k.perSecond / float64(timekeeper.Second) * shares[n] * times(n); f.random.Float64() < rest; rest-- {
					f.send(k, n)
				}
			}
		}
		f.engine.work(f.now)
	}
}

// restart starts some of the gateways anew.
func (f *fleet) restart(gateways int) {
	for i := range gateways {
		f.gateways[i] = NewPrioritizer()
	}
}

func (f *fleet) send(k *kind, account int) {
	f.counts(k, account).sent++
	r := &fakeRequest{kind: k, gateway: f.gateways[f.random.IntN(len(f.gateways))], arrival: f.now}
	r.Request = Request{Service: testService, Account: accountID(account), Priority: k.priority, Tokens: k.tokens, Target: k.target}
	r.decision = r.gateway.Decide(f.scale, r.Request, f.now)
	f.engine.add(r)
}
