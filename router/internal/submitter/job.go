package submitter

import (
	"context"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/dispatcher"
)

// job is the state of one request over all its attempts.
type job struct {
	submitter *Submitter
	ctx       context.Context
	request   *Request
	target    target
	excluded  map[model.EndpointID]bool
	// nextEndpoint is the endpoint that a sidecar named in its refusal, if any.
	nextEndpoint model.EndpointID
	response     *Response
}

// hasIdempotencyKey reports whether the request may run only at the home of its key.
func (j *job) hasIdempotencyKey() bool {
	return j.request.RunRequest.IdempotencyKey != ""
}

func (j *job) chooseTarget() *model.Refusal {
	t, refusal := j.submitter.chooseTarget(j)
	j.target = t

	return refusal
}

// sendAttempt sends the request to the target. It stores the response if it has started and returns the failure otherwise.
func (j *job) sendAttempt() *dispatcher.Failure {
	response, refusal, err := j.submitter.sendAttempt(j)
	if refusal == nil {
		j.response = response

		return nil
	}

	return &dispatcher.Failure{AttemptFailure: j.attemptFailure(refusal), Refusal: refusal, Err: err}
}

// attemptFailure derives from a refusal whether the request may be sent again. A request with an idempotency key may be sent
// again only if the sidecar is not the home of the key or has no current view of the fleet. Such a sidecar has not run the
// request and cannot know whether the home has, so the outcome that it reports is ignored.
func (j *job) attemptFailure(r *model.Refusal) retrier.AttemptFailure {
	f := retrier.AttemptFailure{
		MayHaveRun:      r.Outcome != model.OutcomeNotRun,
		ReachedEndpoint: r.Code != model.CodeEndpointUnreachable || r.Outcome != model.OutcomeNotRun,
		WasRedirected:   isRedirect(r.Code),
		IsFinal:         r.IsFinal,
	}
	if !j.hasIdempotencyKey() {
		return f
	}
	if r.Code == model.CodeNotHome || r.Code == model.CodeStaleView {
		f.MayHaveRun = false
	} else {
		f.IsFinal = true
	}

	return f
}

// isRedirect reports whether a sidecar uses a code to refuse a request before the endpoint receives anything of it.
// CodeOverloaded also stands for a 503 response of a model engine; the outcome of the refusal is unknown then.
func isRedirect(code model.Code) bool {
	switch code {
	case model.CodeChatMoved, model.CodeAboveLoadBound, model.CodeEndpointCold, model.CodeEndpointDraining,
		model.CodeDomainOutOfService, model.CodeStaleView, model.CodeNotHome, model.CodeOverloaded, model.CodeSuspectWaiting:
		return true
	default:
		return false
	}
}

// handleFailure prepares the next attempt after a failed one. It returns false if there is none.
func (j *job) handleFailure(f *dispatcher.Failure, action retrier.Action) bool {
	switch action {
	case retrier.ActionRetry:
		retriesTotal.Inc()
	case retrier.ActionRedirect:
		redirectsTotal.Inc()
	case retrier.ActionNoBudget:
		j.submitter.follower.Log.Write(logger.EventRetryBudgetExhausted, logger.String("endpoint", j.target.id))

		return false
	default:
		return false
	}
	j.nextEndpoint = f.Refusal.NextEndpoint
	if f.Refusal.Code == model.CodeStaleView || j.hasIdempotencyKey() {
		return timekeeper.Sleep(j.ctx, sameEndpointRetryDelay)
	}
	j.excluded[j.target.id] = true

	return true
}
