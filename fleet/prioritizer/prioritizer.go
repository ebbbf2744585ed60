package prioritizer

import (
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
	// Target is the time within which an engine should begin to answer; zero if there is none.
	Target timekeeper.Millis
	// Tokens is the cost of the request; see Cost.
	Tokens float64
	// IsContinuation is true if the request goes on with a stream that has begun. These have a share of their own, as large as the
	// account's.
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

	waiting *waitingRequest
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

// Decide returns the priority of a request at the engines of its service, and counts its tokens for its account. RecordAnswer or
// RecordEnd follows.
func (p *Prioritizer) Decide(scale Scale, r Request, now timekeeper.Millis) Decision {
	if scale.IsUniform() {
		return Decision{Level: NoLevel}
	}
	s := p.state(r.Service, now)
	st, share := s.standing(r, now)
	s.window.add(r.Account, r.Tokens, st == withinShare)
	d := Decision{Level: scale.level(r.Priority, st), IsDemoted: st > withinShare, SharePercent: share, waiting: s.wait(r, now)}
	if s.isShort && st == withinShare && !r.IsContinuation && d.Level > 0 && s.priority(r.Priority).rotation.next() {
		d.Level, d.IsPromoted = 0, true
	}

	return d
}

// RecordAnswer records that an engine has begun to answer a request.
func (p *Prioritizer) RecordAnswer(r Request, d Decision, now timekeeper.Millis) {
	s := p.state(r.Service, now)
	s.window.generations[0].served += r.Tokens
	if w := d.waiting; w != nil && !w.isDone {
		w.isDone = true
		p.observe(r, now > w.dueAt, now)
	}
}

// RecordEnd records that a request has ended, whether or not an engine has begun to answer it.
func (p *Prioritizer) RecordEnd(d Decision) {
	if d.waiting != nil {
		d.waiting.isDone = true
	}
}

// RecordRejection records that an engine has rejected a request because it is full.
func (p *Prioritizer) RecordRejection(r Request, now timekeeper.Millis) {
	p.observe(r, true, now)
}

// observe records whether a request was answered in time.
func (p *Prioritizer) observe(r Request, isBad bool, now timekeeper.Millis) {
	p.state(r.Service, now).priority(r.Priority).shortage.observe(isBad, now)
	p.updateShortage(r.Service, now)
}

// IsShort reports whether a service gets more requests than its engines serve in time.
func (p *Prioritizer) IsShort(id model.ServiceID) bool {
	s, ok := p.services[id]

	return ok && s.isShort
}

// Expire ends shortages of which nothing is seen any more, and forgets services without requests.
func (p *Prioritizer) Expire(now timekeeper.Millis) {
	for id, s := range p.services {
		p.updateShortage(id, now)
		s.debts.expire(now)
		s.continued.expire(now)
		if now-s.lastUsedAt >= serviceLifetime {
			delete(p.services, id)
		}
	}
}

// state returns the state of a service, moved to the present.
func (p *Prioritizer) state(id model.ServiceID, now timekeeper.Millis) *serviceState {
	s, ok := p.services[id]
	if !ok {
		s = &serviceState{window: newTokenWindow(now), debts: accountDebts{}, continued: accountDebts{}, priorities: map[Priority]*priorityState{}}
		p.services[id] = s
	}
	s.lastUsedAt = now
	s.window.advance(now)
	if now-s.checkedAt >= waitCheckInterval {
		p.updateShortage(id, now)
	}

	return s
}

// updateShortage reports whether a shortage of a service has begun or ended.
func (p *Prioritizer) updateShortage(id model.ServiceID, now timekeeper.Millis) {
	s := p.services[id]
	wasShort := s.isShort
	s.checkWaiting(now)
	s.isShort = false
	for _, state := range s.priorities {
		state.shortage.expire(now)
		s.isShort = s.isShort || state.shortage.isShort
	}
	if s.isShort != wasShort {
		p.OnShortage(id, s.isShort)
	}
}
