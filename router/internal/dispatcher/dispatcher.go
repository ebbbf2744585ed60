package dispatcher

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// Failure describes an attempt that did not serve its request.
type Failure struct {
	retrier.AttemptFailure

	// Refusal is the response to the caller if the request ends with this attempt.
	Refusal *model.Refusal
	// Err is the cause, for the log.
	Err error
}

// Dispatcher runs the attempts of one request. Its functions choose the endpoints and send the request.
type Dispatcher struct {
	// RetryState holds the retry policy of the request and counts what its attempts have used up.
	RetryState retrier.State
	// ChooseEndpoint selects the endpoint of the next attempt, or returns a refusal if there is none.
	ChooseEndpoint func() *model.Refusal
	// SendAttempt sends the request to the chosen endpoint. It returns nil if the request was served.
	SendAttempt func() *Failure
	// TrySpendRetry takes one retry from the retry budget. It returns false if the budget is exhausted.
	TrySpendRetry func() bool
	// HandleFailure is called after each failed attempt with the action that follows. The request ends if it returns false.
	HandleFailure func(*Failure, retrier.Action) bool
	// Now returns the current time.
	Now func() timekeeper.Millis
}

// Run makes attempts until the request is served or no further attempt is allowed. It returns a nil refusal if the request
// was served; otherwise it returns the refusal for the caller and the failure of the last attempt, nil if there was none.
func (d *Dispatcher) Run() (*Failure, *model.Refusal) {
	var last *Failure
	for {
		if refusal := d.ChooseEndpoint(); refusal != nil {
			return last, d.finalRefusal(last, refusal)
		}
		last = d.SendAttempt()
		if last == nil {
			return nil, nil
		}
		action := d.RetryState.Decide(last.AttemptFailure, d.TrySpendRetry, d.Now())
		shouldContinue := d.HandleFailure(last, action)
		if !shouldContinue || action == retrier.ActionGiveUp || action == retrier.ActionNoBudget {
			return last, d.finalRefusal(last, last.Refusal)
		}
	}
}

// finalRefusal adapts a refusal to the whole request rather than its last attempt. "No endpoint" is reported only if no
// attempt was made; after a failed attempt, the refusal of that attempt is returned instead, with the longer retry delay of
// the two. The outcome becomes unknown if any attempt may have run the request.
func (d *Dispatcher) finalRefusal(last *Failure, refusal *model.Refusal) *model.Refusal {
	if refusal.Code == model.CodeNoEndpoint && last != nil {
		last.Refusal.RetryAfter = max(last.Refusal.RetryAfter, refusal.RetryAfter)
		refusal = last.Refusal
	}
	if d.RetryState.Runs > 0 && refusal.Outcome == model.OutcomeNotRun {
		refusal.Outcome = model.OutcomeUnknown
	}

	return refusal
}
