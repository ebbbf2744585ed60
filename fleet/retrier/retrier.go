package retrier

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	retryShare   = 0.1
	retryBurst   = 20.0
	maxRetries   = 3
	maxRedirects = 4
	minTimeLeft  = 50 * timekeeper.Millis(1)
)

// Budget holds the retries that first tries have earned; redirects by sidecars are not charged, they never reach an endpoint.
type Budget struct {
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: retryBurst}
}

// Earn notes a first try.
func (b *Budget) Earn() {
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Spend takes one retry and returns false when the budget is empty.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// Request is what one request has used up so far.
type Request struct {
	Idempotent bool
	Keyed      bool
	Sent       bool
	Retries    int
	Redirects  int
	Deadline   timekeeper.Millis
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

// Decide says what follows a refusal; it updates the request and spends from the budget.
func Decide(r *Request, refusal *model.Refusal, b *Budget, now timekeeper.Millis) Action {
	if refusal.Final || r.Sent || now+minTimeLeft >= r.Deadline {
		return ActionGiveUp
	}
	if !repeatable(r, refusal) {
		return ActionGiveUp
	}
	if isRedirect(refusal.Code) {
		if r.Redirects >= maxRedirects {
			return ActionGiveUp
		}
		r.Redirects++

		return ActionRedirect
	}
	if r.Retries >= maxRetries {
		return ActionGiveUp
	}
	if !b.Spend() {
		return ActionNoBudget
	}
	r.Retries++

	return ActionRetry
}

func repeatable(r *Request, refusal *model.Refusal) bool {
	if r.Keyed {
		return refusal.Code == model.CodeNotHome || refusal.Code == model.CodeStale
	}

	return refusal.Outcome == model.OutcomeNotRun || r.Idempotent
}

// isRedirect tells whether a sidecar turned the request away before its endpoint saw anything of it.
func isRedirect(code model.Code) bool {
	switch code {
	case model.CodeMovedChat, model.CodeAboveBound, model.CodeCold, model.CodeLeaving,
		model.CodeDomainOut, model.CodeStale, model.CodeNotHome, model.CodeOverloaded, model.CodeSuspectBusy:
		return true
	default:
		return false
	}
}
