package forwarder

import (
	"net/http"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/dispatcher"
)

const retryWait = 300 * timekeeper.Millis(1)

// fields are the inputs of the decisions on the request.
func (j *job) fields() []logger.Field {
	fields := []logger.Field{
		logger.String("request", j.facts.AttemptID),
		logger.Int("after-ms", j.f.clock.Now()-j.arrived),
	}
	if j.route != nil {
		fields = append(fields, logger.String("route", j.route.Name), logger.String("account", j.account.ID))
	}
	if j.view != nil {
		fields = append(fields,
			logger.Int("version", j.view.Configuration.Version),
			logger.Int("view-age-ms", j.f.clock.Now()-j.view.ChangedAt))
	}
	if e := j.choice.Endpoint; e != nil {
		fields = append(fields,
			logger.String("endpoint", e.ID),
			logger.String("reason", j.choice.Reason),
			logger.Int("load", j.choice.Load),
			logger.Int("mean-percent", int(100*j.choice.MeanLoad)),
			logger.Int("attempts", j.arrivals))
	}

	if n := len(j.facts.Prompt); n > 0 {
		fields = append(fields,
			logger.Hex("session", j.facts.SessionID()),
			logger.Int("prompt-tokens", j.facts.PromptTokens),
			logger.Int("own-tokens", j.facts.Prompt[n-1].Tokens))
	}
	if j.stream.started {
		fields = append(fields,
			logger.Int("first-ms", j.stream.firstAt-j.arrived),
			logger.Int("longest-gap-ms", j.stream.gap))
	}
	if e := j.choice.CacheSource; e != nil {
		fields = append(fields, logger.String("fetch-from", e.ID))
	}

	return fields
}

func (j *job) logAttempt(fault *dispatcher.Failure) {
	j.f.log.Write(logger.EventAttemptFailed, append(j.fields(), logger.Err(fault.Err), logger.Bool("may-have-run", fault.MayHaveRun))...)
}

func (j *job) logServed(status int) {
	served.Inc()
	if status < 300 {
		j.f.clear(j.fingerprint)
	}
	totalLatency.Update(float64(j.f.clock.Now()-j.arrived) / 1000)
	j.f.log.Write(logger.EventRequestServed, append(j.fields(), logger.Int("status", status))...)
}

// refuse answers at once that the request was not served, and whether it may have run.
func (j *job) refuse(r *model.Refusal) {
	refused.Inc()
	status := platform.HTTPStatus(r)
	j.f.log.Write(logger.EventRequestRefused, append(j.fields(),
		logger.Int("status", status), logger.String("code", r.Code),
		logger.String("outcome", r.Outcome), logger.String("detail", r.Detail),
		logger.Int("retry-after-ms", r.RetryAfter))...)
	h := j.w.Header()
	if j.facts.AttemptID != "" {
		platform.SetAttemptID(h, j.facts.AttemptID)
	}
	if r.RetryAfter > 0 && r.Outcome == model.OutcomeNotRun {
		platform.SetRetryAfter(h, r.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	j.w.WriteHeader(status)
	if _, err := j.w.Write([]byte(r.Detail + "\n")); err != nil {
		j.leave()
	}
}

// leave ends the request of a caller that is gone.
func (j *job) leave() {
	gone.Inc()
	j.f.log.Write(logger.EventClientDisconnected, j.fields()...)
	panic(http.ErrAbortHandler)
}

// abort closes the caller's connection, so that what was delivered cannot look complete.
func (j *job) abort(err error) {
	cut.Inc()
	j.f.log.Write(logger.EventStreamInterrupted, append(j.fields(), logger.Err(err))...)
	panic(http.ErrAbortHandler)
}
