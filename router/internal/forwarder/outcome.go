package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/dispatcher"
)

// endpointFailureRetryAfter is the Retry-After of refusals after a failed attempt.
const endpointFailureRetryAfter = 300 * timekeeper.Millis(1)

// logFields returns the log fields that describe the request and the decisions on it so far.
func (p *proxiedRequest) logFields() []logger.Field {
	fields := []logger.Field{
		logger.String("request", p.metadata.AttemptID),
		logger.Int("after-ms", p.forwarder.clock.Now()-p.arrivedAt),
	}
	if p.route != nil {
		fields = append(fields, logger.String("route", p.route.Name), logger.String("account", p.account.ID))
	}
	if p.view != nil {
		fields = append(fields,
			logger.Int("version", p.view.Configuration.Version),
			logger.Int("view-age-ms", p.forwarder.clock.Now()-p.view.ChangedAt))
	}
	if e := p.choice.Endpoint; e != nil {
		fields = append(fields,
			logger.String("endpoint", e.ID),
			logger.String("software", e.Software),
			logger.String("reason", p.choice.Reason),
			logger.Int("load", p.choice.Load),
			logger.Int("mean-percent", int(100*p.choice.MeanLoad)),
			logger.Int("expected-percent", int(100*p.choice.Expected)),
			logger.Int("reports", p.choice.Reports),
			logger.Int("report-age-ms", p.choice.ReportAge),
			logger.Int("attempts", p.endpointsReached))
	}

	if held, ok := p.endpointLoad.Held(); ok {
		fields = append(fields, logger.Int("endpoint-load", held))
	}
	if s := p.endpointLoad.Slowdown; s > 0 {
		fields = append(fields, logger.Int("endpoint-slowdown-percent", int(100*s)))
	}
	if p.metadata.LastEventID != "" {
		fields = append(fields, logger.String("resumes", p.metadata.Resumes), logger.String("last-event", p.metadata.LastEventID))
	}
	if p.advertisedLimit > 0 {
		fields = append(fields, limitField(p.advertisedLimit))
	}
	if p.endpointLeaves || p.endpointBackoff > 0 {
		fields = append(fields, logger.Bool("leaving", p.endpointLeaves), logger.Int("backoff-ms", p.endpointBackoff))
	}
	if n := len(p.metadata.Prompt); n > 0 {
		fields = append(fields,
			logger.Hex("session", p.metadata.SessionID()),
			logger.Int("prompt-tokens", p.metadata.PromptTokens),
			logger.Int("own-tokens", p.metadata.Prompt[n-1].Tokens))
	}
	if p.stream.hasStarted {
		fields = append(fields,
			logger.Int("first-ms", p.stream.firstEventAt-p.arrivedAt),
			logger.Int("longest-gap-ms", p.stream.longestGap))
	}
	fields = append(fields, p.roomFields()...)
	if x := p.choice.Forecast; x.IsKnown {
		fields = append(fields, logger.Int("expected-first-ms", x.First))
	}
	if e := p.choice.CacheSource; e != nil {
		fields = append(fields, logger.String("fetch-from", e.ID))
	}

	return fields
}

func (p *proxiedRequest) logFailedAttempt(failure *dispatcher.Failure) {
	p.forwarder.log.Write(logger.EventAttemptFailed, append(p.logFields(),
		logger.Hex("suspect", uint64(p.suspects[0].ID)), logger.String("parts", p.sharedPartIDs()),
		logger.Err(failure.Err), logger.Bool("may-have-run", failure.MayHaveRun))...)
}

// sharedPartIDs returns the IDs of the prompt parts that other requests can share, in hexadecimal and separated by commas.
func (p *proxiedRequest) sharedPartIDs() string {
	var ids []string
	for _, part := range p.metadata.PartsBeforeLast() {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}

	return strings.Join(ids, ",")
}

// recordServed counts and logs a response that was relayed to its end. A success clears the request's suspects, but an unframed
// one only once the endpoint has turned out to be alive.
func (p *proxiedRequest) recordServed(status int, isFramed bool) {
	requestsServed.Inc()
	p.forwarder.recordServedAnswer(p.service)
	p.recordEngineAnswer()
	if status < 300 && isFramed {
		p.forwarder.clearSuspects(p.suspects)
	}
	p.isServedUnframed = status < 300 && !isFramed
	requestSeconds.Update(float64(p.forwarder.clock.Now()-p.arrivedAt) / 1000)
	p.forwarder.log.Write(logger.EventRequestServed, append(p.logFields(), append(p.priorityFields(), logger.Int("status", status))...)...)
}

// refuse responds that the request was not served.
func (p *proxiedRequest) refuse(r *model.Refusal) {
	if err := p.writeRefusal(r); err != nil {
		p.abortDisconnected()
	}
}

// writeRefusal writes and logs that the request was not served. The status tells the caller whether the request may have run.
func (p *proxiedRequest) writeRefusal(r *model.Refusal) error {
	requestsRefused.Inc()
	if r.Code == model.CodeRequestQuarantined {
		requestsQuarantined.Inc()
	}
	status := platform.HTTPStatus(r)
	back := p.deferReturn(r)
	p.forwarder.log.Write(logger.EventRequestRefused, append(append(p.logFields(),
		logger.Int("status", status), logger.String("code", r.Code),
		logger.String("outcome", r.Outcome), logger.String("detail", r.Detail),
		logger.Int("retry-after-ms", back.After), logger.Int("return-window-ms", back.Window)), p.priorityFields()...)...)
	h := p.writer.Header()
	if p.metadata.AttemptID != "" {
		platform.SetAttemptID(h, p.metadata.AttemptID)
	}
	if back.After > 0 && r.Outcome == model.OutcomeNotRun {
		platform.SetRetryAfter(h, back.After)
	}
	text := r.Detail + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	p.setConnectionHeaders()
	p.writer.WriteHeader(status)
	_, err := io.WriteString(p.writer, text)

	return err
}

// abortDisconnected ends the request of a caller that has disconnected. It does not return.
func (p *proxiedRequest) abortDisconnected() {
	callersDisconnected.Inc()
	p.forwarder.log.Write(logger.EventCallerDisconnected, p.logFields()...)
	panic(http.ErrAbortHandler)
}

// abortResponse closes the caller's connection, so that a truncated response cannot look complete. It does not return.
func (p *proxiedRequest) abortResponse(err error) {
	err = p.nameOwnEnd(err)
	streamsInterrupted.Inc()
	p.forwarder.log.Write(logger.EventStreamInterrupted, append(p.logFields(), logger.Err(err))...)
	panic(http.ErrAbortHandler)
}

// respondUnserved ends a request that no endpoint has served. It relays the error response of the last attempt, or refuses
// the request if there is none or its status wrongly implies that the request has not run. A stream that has started is
// aborted.
func (p *proxiedRequest) respondUnserved(lastFailure *dispatcher.Failure, refusal *model.Refusal) {
	if p.request.Context().Err() != nil {
		p.abortDisconnected()
	}
	if p.stream.hasStarted {
		p.abortResponse(lastFailure.Err)
	}
	if p.errorResponse != nil && !impliesNotRun(p.errorResponse.status) {
		p.relayBuffered(p.errorResponse)

		return
	}
	if p.timeLeft() <= 0 {
		refusal.Code = model.CodeDeadlineTooShort
	}
	p.refuse(refusal)
}

// impliesNotRun reports whether callers take a status to mean that the request has not run. An endpoint that has not run a
// request states it in its headers as well; without them, such a status is not relayed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
