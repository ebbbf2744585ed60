package prioritizer

import (
	"math"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// outputWeight is the cost of an output token relative to a token of the prompt that an engine has to read.
const outputWeight = 2

// serviceLifetime is how long after its last request a service is forgotten.
const serviceLifetime = 2 * timekeeper.Minute

// Request holds the properties of a request that its priority at an engine depends on.
type Request struct {
	Service  model.ServiceID
	Account  model.AccountID
	Priority Priority
	// Tokens is the cost of the request; see Cost.
	Tokens float64
	// IsContinuation is true if the request goes on with a stream that has begun. It is not demoted.
	IsContinuation bool
}

// Cost returns the cost of a request in tokens that an engine has to read.
func Cost(uncached, output model.Tokens) float64 {
	return max(float64(max(uncached, 0))+outputWeight*float64(max(output, 0)), 1)
}

// Decision is the priority of a request at an engine and the figures behind it.
type Decision struct {
	Level EngineLevel
	// IsDemoted is true if the request is beyond its account's share, and IsPromoted if it goes before more urgent ones to keep its kind
	// from starving.
	IsDemoted  bool
	IsPromoted bool
	// SharePercent is the account's share of the tokens that all accounts have sent lately.
	SharePercent int
}

// serviceState is what a gateway tracks for one service.
type serviceState struct {
	shortage   shortage
	window     *tokenWindow
	shares     fairShares
	rotations  map[Priority]*rotation
	lastUsedAt timekeeper.Millis
}

// Prioritizer holds the state behind the priorities that one gateway gives to requests. It is not safe for concurrent use.
type Prioritizer struct {
	// OnShortage is called when a service becomes short of engines, and when that ends.
	OnShortage func(id model.ServiceID, isShort bool)

	services map[model.ServiceID]*serviceState
}

// NewPrioritizer returns a prioritizer that has seen no requests.
func NewPrioritizer() *Prioritizer {
	return &Prioritizer{OnShortage: func(model.ServiceID, bool) {}, services: map[model.ServiceID]*serviceState{}}
}

// state returns the state of a service, moved to the present.
func (p *Prioritizer) state(id model.ServiceID, now timekeeper.Millis) *serviceState {
	s, ok := p.services[id]
	if !ok {
		s = &serviceState{window: newTokenWindow(now), rotations: map[Priority]*rotation{}}
		p.services[id] = s
	}
	s.lastUsedAt = now
	s.window.advance(now)

	return s
}

// Decide returns the priority of a request at the engines of its service, and counts its tokens for its account.
func (p *Prioritizer) Decide(scale Scale, r Request, now timekeeper.Millis) Decision {
	if scale.IsUniform() {
		return Decision{Level: NoLevel}
	}
	s := p.state(r.Service, now)
	p.updateShortage(r.Service, s, func() { s.shortage.expire(now) })
	band, share := s.band(r, now)
	s.window.add(r.Account, r.Tokens, band == 0)
	d := Decision{Level: scale.level(r.Priority, band), IsDemoted: band > 0, SharePercent: share}
	if s.shortage.isShort && band == 0 && !r.IsContinuation && s.rotation(r.Priority).next() && d.Level > 0 {
		d.Level, d.IsPromoted = 0, true
	}

	return d
}

// band returns the band of a request and its account's share of the tokens in percent. Requests without an account share nothing that
// could be divided.
func (s *serviceState) band(r Request, now timekeeper.Millis) (band, sharePercent int) {
	if !s.shortage.isShort {
		return 0, 0
	}
	s.window.generations[0].wasShort = true
	if now-s.shares.computedAt >= shareInterval {
		s.shares = newFairShares(s.window, now)
	}
	counted := s.window.account(r.Account)
	sharePercent = int(math.Round(100 * min(counted.sent/max(s.shares.total, 1), 1)))
	allowed := s.shares.of(s.window.usual.accounts[r.Account])
	switch {
	case r.IsContinuation || r.Account == "" || counted.granted+r.Tokens <= allowed:
		return 0, sharePercent
	case counted.sent <= farOver*allowed:
		return 1, sharePercent
	default:
		return 2, sharePercent
	}
}

// RecordAnswer records that an engine has begun to answer a request, and whether it was late or full.
func (p *Prioritizer) RecordAnswer(r Request, isBad bool, now timekeeper.Millis) {
	s := p.state(r.Service, now)
	s.window.generations[0].served += r.Tokens
	p.updateShortage(r.Service, s, func() { s.shortage.observe(isBad, now) })
}

// RecordRejection records that an engine has rejected a request because it is full, or has not begun to answer it in time.
func (p *Prioritizer) RecordRejection(id model.ServiceID, now timekeeper.Millis) {
	s := p.state(id, now)
	p.updateShortage(id, s, func() { s.shortage.observe(true, now) })
}

// IsShort reports whether a service gets more requests than its engines serve in time.
func (p *Prioritizer) IsShort(id model.ServiceID) bool {
	s, ok := p.services[id]

	return ok && s.shortage.isShort
}

// Expire ends shortages of which nothing is seen any more, and forgets services without requests.
func (p *Prioritizer) Expire(now timekeeper.Millis) {
	for id, s := range p.services {
		p.updateShortage(id, s, func() { s.shortage.expire(now) })
		if now-s.lastUsedAt >= serviceLifetime {
			delete(p.services, id)
		}
	}
}

// updateShortage calls update and reports whether a shortage has begun or ended by it.
func (p *Prioritizer) updateShortage(id model.ServiceID, s *serviceState, update func()) {
	wasShort := s.shortage.isShort
	update()
	if s.shortage.isShort != wasShort {
		p.OnShortage(id, s.shortage.isShort)
	}
}
