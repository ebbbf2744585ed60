package retrier

import (
	"cardamompulley/fleet/timekeeper"
)

// maxRedirects bounds the endpoints that one request is handed on to; handing on is not charged to a budget.
const maxRedirects = 4

// Policy is how often a request may be sent.
type Policy struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxRuns bounds the endpoints that may run a repeatable request, and MaxRetries its charged retries; zero is no bound.
	MaxRuns    int
	MaxRetries int
	// Deadline is when the answer is due, and MinLeft the time that another attempt takes at least.
	Deadline timekeeper.Millis
	MinLeft  timekeeper.Millis
}

// Fault is what an attempt that did not serve its request shows.
type Fault struct {
	// MayHaveRun is true unless the endpoint certainly did not run the request.
	MayHaveRun bool
	// Arrived is true when the request reached an endpoint.
	Arrived bool
	// Redirected means that a sidecar handed the request on before its endpoint saw anything of it.
	Redirected bool
	// Final means that no other attempt can help.
	Final bool
}

// Request is what one request has used up so far.
type Request struct {
	Policy

	// Runs is the number of endpoints that may have run the request.
	Runs int
	// Arrivals is the number of endpoints that it has reached.
	Arrivals  int
	Retries   int
	Redirects int
}

// Action says what follows a failed attempt.
type Action string

// The actions.
const (
	ActionGiveUp   Action = "give-up"
	ActionRetry    Action = "retry"
	ActionRedirect Action = "redirect"
	ActionNoBudget Action = "no-budget"
)

// Decide notes a failed attempt and says what follows; spend takes a retry from the budget, or returns false. Attempts
// that reach nobody are not charged before the first that does.
func (r *Request) Decide(f Fault, spend func() bool, now timekeeper.Millis) Action {
	r.note(f)
	if f.Final || now+r.MinLeft >= r.Deadline {
		return ActionGiveUp
	}
	if f.MayHaveRun && (!r.Repeatable || r.MaxRuns > 0 && r.Runs >= r.MaxRuns) {
		return ActionGiveUp
	}
	if f.Redirected {
		return r.redirect()
	}
	if r.MaxRetries > 0 && r.Retries >= r.MaxRetries {
		return ActionGiveUp
	}
	if r.Arrivals > 0 && !spend() {
		return ActionNoBudget
	}
	r.Retries++

	return ActionRetry
}

func (r *Request) note(f Fault) {
	if f.MayHaveRun {
		r.Runs++
	}
	if f.Arrived {
		r.Arrivals++
	}
}

func (r *Request) redirect() Action {
	if r.Redirects >= maxRedirects {
		return ActionGiveUp
	}
	r.Redirects++

	return ActionRedirect
}
