package submitter

import (
	"context"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/dispatcher"
)

// job is one request over its attempts.
type job struct {
	submitter *Submitter
	ctx       context.Context
	request   *Request
	target    target
	excluded  map[model.EndpointID]bool
	// forced is the endpoint that a sidecar has handed the request on to.
	forced model.EndpointID
	answer *Answer
}

// keyed requests may run at the home of their key only.
func (j *job) keyed() bool {
	return j.request.Run.IdempotencyKey != ""
}

func (j *job) choose() *model.Refusal {
	t, refusal := j.submitter.choose(j)
	j.target = t

	return refusal
}

// attempt sends the request to the target; a started answer is kept.
func (j *job) attempt() *dispatcher.Failure {
	answer, refusal, err := j.submitter.try(j)
	if refusal == nil {
		j.answer = answer

		return nil
	}

	return &dispatcher.Failure{AttemptFailure: j.faultOf(refusal), Refusal: refusal, Err: err}
}

// faultOf says what a refusal allows. Only another home may run a keyed request, and a sidecar that is none knows nothing.
func (j *job) faultOf(r *model.Refusal) retrier.AttemptFailure {
	f := retrier.AttemptFailure{
		MayHaveRun:      r.Outcome != model.OutcomeNotRun,
		ReachedEndpoint: r.Code != model.CodeEndpointUnreachable || r.Outcome != model.OutcomeNotRun,
		WasRedirected:   isRedirect(r.Code),
		IsFinal:         r.Final,
	}
	if !j.keyed() {
		return f
	}
	if r.Code == model.CodeNotHome || r.Code == model.CodeStaleView {
		f.MayHaveRun = false
	} else {
		f.IsFinal = true
	}

	return f
}

// isRedirect tells whether a sidecar turned the request away before its endpoint saw anything of it.
func isRedirect(code model.Code) bool {
	switch code {
	case model.CodeChatMoved, model.CodeAboveLoadBound, model.CodeEndpointCold, model.CodeEndpointDraining,
		model.CodeDomainOutOfService, model.CodeStaleView, model.CodeNotHome, model.CodeOverloaded, model.CodeSuspectWaiting:
		return true
	default:
		return false
	}
}

// failed prepares the attempt that follows a failed one.
func (j *job) failed(f *dispatcher.Failure, next retrier.Action) bool {
	switch next {
	case retrier.ActionRetry:
		retries.Inc()
	case retrier.ActionRedirect:
		redirects.Inc()
	case retrier.ActionNoBudget:
		j.submitter.follower.Log.Write(logger.EventRetryBudgetExhausted, logger.String("endpoint", j.target.id))

		return false
	default:
		return false
	}
	j.forced = f.Refusal.NextEndpoint
	if f.Refusal.Code == model.CodeStaleView || j.keyed() {
		return timekeeper.Sleep(j.ctx, stalePause)
	}
	j.excluded[j.target.id] = true

	return true
}
