package measurer

import (
	"math"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/exchanger"
)

// propose asks the sidecar of a member to admit a request, given the number of running requests that the admission bound
// allows. It reports whether the request runs or waits there.
func (s *simulation) propose(member int, req *request, loadLimit int) bool {
	e := s.endpoints[member]
	s.stats.proposals += boolToInt(s.isWarmedUp())
	if e.isDown {
		s.stats.refusals += boolToInt(s.isWarmedUp())

		return false
	}
	s.lastTicket++
	admission := admitter.Request{Ticket: s.lastTicket, Account: req.account}
	decision := e.admitter.Admit(admission, loadLimit, s.now)
	switch decision.Action {
	case admitter.ActionRun:
		s.startRequest(member, req)
	case admitter.ActionWait:
		e.queuedRequests[admission.Ticket] = req
	default:
		s.stats.refusals += boolToInt(s.isWarmedUp())

		return false
	}

	return true
}

// startRequest runs a request on a member and schedules its end.
func (s *simulation) startRequest(member int, req *request) {
	e := s.endpoints[member]
	prefillTime := missPrefillTime
	uncachedTokens := missUncachedTokens
	_, isHit := e.prefixCache.Get(req.chat)
	if isHit {
		prefillTime = hitPrefillTime
		uncachedTokens = 0
	}
	s.stats.recordTurn(req, isHit)
	e.prefixCache.Add(req.chat, struct{}{})
	if limit := e.admitter.Limiter.Limit(); e.admitter.Limiter.IsCold() && e.admitter.Running() > limit {
		e.coldLimitViolations++
	}
	s.policy.OnStart(s, member, req)
	serviceTime := prefillTime + req.decodeTime
	sample := admitter.Sample{UncachedTokens: uncachedTokens, FirstToken: prefillTime, ServiceTime: serviceTime}
	s.schedule(serviceTime, func() { s.finishRequest(member, e, sample) })
	s.reportLoad(member, req.router)
}

// finishRequest ends a request and starts queued ones. It does nothing if the endpoint has been restarted since.
func (s *simulation) finishRequest(member int, e *endpoint, sample admitter.Sample) {
	if s.endpoints[member] != e {
		return
	}
	e.admitter.Finish(sample)
	for {
		next, ok := e.admitter.Next(s.loadLimit(member), s.now)
		if !ok {
			break
		}
		req := e.queuedRequests[next.Ticket]
		delete(e.queuedRequests, next.Ticket)
		s.startRequest(member, req)
	}
}

func (s *simulation) currentLoad(member int) exchanger.Load {
	e := s.endpoints[member]
	state := exchanger.StateWarm
	if e.admitter.Limiter.IsCold() {
		state = exchanger.StateCold
	}
	if e.admitter.Waiting() > 0 {
		state = exchanger.StateFull
	}
	if e.isDown {
		state = exchanger.StateDown
	}

	return exchanger.Load{Running: e.admitter.Running(), State: state, ObservedAt: s.now}
}

// reportLoad stores the current load of a member in the table of a router, as sent with each response.
func (s *simulation) reportLoad(member, router int) {
	s.routers[router].loads.Observe(member, s.currentLoad(member))
}

// loadLimit returns the load limit that the sidecar of a member applies. It is based on the current load of the member and
// the last known loads of the others. A policy without an admission bound has no limit.
func (s *simulation) loadLimit(member int) int {
	if !s.policy.IsBounded {
		return math.MaxInt
	}
	e := s.endpoints[member]
	e.loads.Observe(member, s.currentLoad(member))

	return e.placer.LoadLimit(s.group)
}

// exchangeLoads merges the load vectors of two processes into each other's tables.
func (s *simulation) exchangeLoads(a, b *exchanger.Table) {
	if a == b {
		return
	}
	request := a.Encode(s.now, nil)
	response := b.Encode(s.now, nil)
	s.stats.controlBytes += len(request) + len(response) + exchangeOverheadBytes
	_ = b.Merge(request, s.now)
	_ = a.Merge(response, s.now)
}
