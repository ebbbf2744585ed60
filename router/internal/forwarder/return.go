package forwarder

import (
	"math/rand/v2"

	"cardamompulley/fleet/deferrer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/timekeeper"
)

// deferReturn decides when the caller of a refused request comes back. The RetryAfter of a refusal that is about room is the earliest
// time for that; it is told as it stands if the request may have run, or if the refusal is about the request itself.
func (p *proxiedRequest) deferReturn(r *model.Refusal) deferrer.Return {
	if r.Outcome != model.OutcomeNotRun || !p.isDeferrable(r.Code) {
		return deferrer.Return{After: r.RetryAfter}
	}
	refused := deferrer.Refused{
		Service:      p.service,
		Priority:     p.configuredPriority(),
		Earliest:     r.RetryAfter,
		IsUnforeseen: r.IsUnforeseen,
		TimeLeft:     p.callerTime(),
	}
	f := p.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.returns.Defer(refused, f.clock.Now(), rand.Float64())
}

// isDeferrable reports whether a refusal with a code is about something that many callers may wait for. A gateway that stops is not: others
// have room now.
func (p *proxiedRequest) isDeferrable(code model.Code) bool {
	switch code {
	case model.CodeNotReady:
		return p.lacksState
	case model.CodeNoEndpoint, model.CodeOverloaded, model.CodeAboveLoadBound, model.CodeEndpointFailed:
		return true
	default:
		return false
	}
}

// configuredPriority returns the priority of the request's client account or route. It is not known without a configuration; all requests
// then count as equally urgent.
func (p *proxiedRequest) configuredPriority() prioritizer.Priority {
	if p.route == nil {
		return prioritizer.MostUrgent
	}

	return prioritizer.Of(p.route, p.account)
}

// callerTime returns the time that the caller has left by its own word, else until the request's deadline, or zero if neither is known.
func (p *proxiedRequest) callerTime() timekeeper.Millis {
	switch {
	case p.metadata.Timeout > 0:
		return max(p.callerTimeLeft(), 1)
	case p.route != nil:
		return max(p.timeLeft(), 1)
	default:
		return 0
	}
}

// CallersOut returns the number of refused callers that are still to come back.
func (f *Forwarder) CallersOut() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.returns.Out(f.clock.Now())
}

// recordServedAnswer counts a whole answer of a service, by which its usual rate is known.
func (f *Forwarder) recordServedAnswer(id model.ServiceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returns.RecordServed(id, f.clock.Now())
}
