package dispatcher

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// Failure is an attempt that did not serve its request.
type Failure struct {
	retrier.AttemptFailure

	// Refusal is what the caller is told if nothing better comes.
	Refusal *model.Refusal
	// Err is the cause for the log.
	Err error
}

// Dispatcher drives one request over its attempts; how an endpoint is chosen and spoken to is up to its functions.
type Dispatcher struct {
	// Request is what may be done for the request and what has been done.
	Request retrier.State
	// Choose picks the endpoint of the next attempt, or says why there is none.
	Choose func() *model.Refusal
	// Attempt sends the request to the chosen endpoint; it returns nil once the caller is served.
	Attempt func() *Failure
	// Spend takes a retry from the budget, or returns false.
	Spend func() bool
	// Failed is told of every failed attempt and what follows it; the request ends if it returns false.
	Failed func(*Failure, retrier.Action) bool
	Now    func() timekeeper.Millis
}

// Run makes attempts until the caller is served, and then returns nil, or until nothing more may be tried, and then
// returns the last failure, if any, and what to tell the caller.
func (d *Dispatcher) Run() (*Failure, *model.Refusal) {
	var last *Failure
	for {
		if refusal := d.Choose(); refusal != nil {
			return last, d.outcome(last, refusal)
		}
		last = d.Attempt()
		if last == nil {
			return nil, nil
		}
		action := d.Request.Decide(last.AttemptFailure, d.Spend, d.Now())
		goOn := d.Failed(last, action)
		if !goOn || action == retrier.ActionGiveUp || action == retrier.ActionNoBudget {
			return last, d.outcome(last, last.Refusal)
		}
	}
}

// outcome makes a refusal speak of the whole request and not only of its last attempt. That there is no other endpoint is
// said only if nothing was tried.
func (d *Dispatcher) outcome(last *Failure, refusal *model.Refusal) *model.Refusal {
	if refusal.Code == model.CodeNoEndpoint && last != nil {
		last.Refusal.RetryAfter = max(last.Refusal.RetryAfter, refusal.RetryAfter)
		refusal = last.Refusal
	}
	if d.Request.Runs > 0 && refusal.Outcome == model.OutcomeNotRun {
		refusal.Outcome = model.OutcomeUnknown
	}

	return refusal
}
