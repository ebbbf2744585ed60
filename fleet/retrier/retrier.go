package retrier

import (
	"cardamompulley/fleet/timekeeper"
)

// maxRedirects bounds the redirects of one request. Redirects are not charged to the retry budget.
const maxRedirects = 4

// Policy limits how often one request may be sent.
type Policy struct {
	// CanRepeat is true if the request may run more than once.
	CanRepeat bool
	// MaxRuns bounds how many endpoints may run the request if CanRepeat is true. MaxRetries bounds its retries. Zero means
	// no bound.
	MaxRuns    int
	MaxRetries int
	// Deadline is the time by which the response is due. MinAttemptTime is the least time that another attempt takes.
	Deadline       timekeeper.Millis
	MinAttemptTime timekeeper.Millis
}

// AttemptFailure describes an attempt that did not serve its request.
type AttemptFailure struct {
	// MayHaveRun is true unless it is certain that the endpoint did not run the request.
	MayHaveRun bool
	// ReachedEndpoint is true if the request reached an endpoint.
	ReachedEndpoint bool
	// WasRedirected is true if a sidecar redirected the request before it reached the endpoint.
	WasRedirected bool
	// IsFinal is true if no other attempt can succeed.
	IsFinal bool
}

// State counts the attempts of one request under its policy.
type State struct {
	Policy

	// Runs is the number of endpoints that may have run the request.
	Runs int
	// Reached is the number of attempts that reached an endpoint.
	Reached int
	// Charged is the number of retries that were taken from the retry budget.
	Charged   int
	Retries   int
	Redirects int
}

// Action is the step that follows a failed attempt.
type Action string

// Actions after a failed attempt.
const (
	ActionGiveUp   Action = "give-up"
	ActionRetry    Action = "retry"
	ActionRedirect Action = "redirect"
	ActionNoBudget Action = "no-budget"
)

// Decide records a failed attempt and returns the next step. The trySpend function takes one retry from the retry budget
// and returns false if the budget is empty. Each attempt that reaches an endpoint, but the first, takes one retry: attempts that
// reach none are free.
func (s *State) Decide(f AttemptFailure, trySpend func() bool, now timekeeper.Millis) Action {
	s.record(f)
	if f.IsFinal || now+s.MinAttemptTime >= s.Deadline {
		return ActionGiveUp
	}
	if f.MayHaveRun && (!s.CanRepeat || s.MaxRuns > 0 && s.Runs >= s.MaxRuns) {
		return ActionGiveUp
	}
	if f.WasRedirected {
		return s.redirect()
	}
	if s.MaxRetries > 0 && s.Retries >= s.MaxRetries {
		return ActionGiveUp
	}
	if s.Reached > s.Charged {
		if !trySpend() {
			return ActionNoBudget
		}
		s.Charged++
	}
	s.Retries++

	return ActionRetry
}

func (s *State) record(f AttemptFailure) {
	if f.MayHaveRun {
		s.Runs++
	}
	if f.ReachedEndpoint {
		s.Reached++
	}
}

func (s *State) redirect() Action {
	if s.Redirects >= maxRedirects {
		return ActionGiveUp
	}
	s.Redirects++

	return ActionRedirect
}
