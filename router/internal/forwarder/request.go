package forwarder

import (
	"context"
	"net/http"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = timekeeper.Minute
	// defaultMaxBodyBytes applies if the configuration sets no limit on request bodies.
	defaultMaxBodyBytes = 16 << 20
	// earlyRefusalRetryAfter is the Retry-After of refusals before an endpoint is chosen.
	earlyRefusalRetryAfter = 500 * timekeeper.Millis(1)
	// prefillWaitDivisor limits the wait for another request's prefill to the time left divided by it.
	prefillWaitDivisor = 8
)

// proxiedRequest is the state of a caller's request, from its arrival to the end of its response.
type proxiedRequest struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	target    target

	view *cataloguer.View
	// lacksState is true if the request is refused because no configuration is known yet.
	lacksState bool
	metadata   model.RequestMetadata
	// metadataErr is why the metadata cannot be decoded; metadata then holds what could.
	metadataErr error
	route       *cataloguer.Route
	service     model.ServiceID
	account     cataloguer.Account
	header      http.Header
	body        []byte
	// bodyBytes is the memory that the body takes.
	bodyBytes int64
	arrival   bodyArrival
	ctx       context.Context
	cancel    context.CancelFunc
	arrivedAt timekeeper.Millis
	deadline  timekeeper.Millis

	// endpointsReached is the number of attempts that connected to an endpoint; the log field is called attempts.
	endpointsReached int
	triedEndpoints   []model.EndpointID
	// hasReached is true once the current attempt has connected to its endpoint. isAnswered is true once the endpoint has sent
	// a whole response, or has stated that it did not run the request.
	hasReached bool
	isAnswered bool
	// isServedUnframed is true once a success has been relayed whose end does not show that it is whole.
	isServedUnframed bool
	choice           balancer.Choice
	// endpointLeaves is true if the last endpoint has said that it leaves, and endpointBackoff how long it wants no requests.
	endpointLeaves  bool
	endpointBackoff timekeeper.Millis
	// advertisedLimit is the number of requests a second that the last endpoint has advertised, zero if none.
	advertisedLimit float64
	// sentAt is when the current attempt was sent.
	sentAt timekeeper.Millis
	// endpointLoad is the load that the last endpoint has reported.
	endpointLoad platform.Load
	stream       streamState
	// errorEndpoints are the endpoints that have responded with an error status.
	errorEndpoints []model.EndpointID
	// errorResponse is the error response of the last attempt, nil if it had none. It is relayed if no attempt follows.
	errorResponse *bufferedResponse
	// finishPrefill releases the requests that wait for this request's prefill.
	finishPrefill func()
	// suspects is what is blamed if an endpoint crashes on the request.
	suspects []quarantiner.Suspect
	priority priorityState
	roomUse  roomUse
	// retryTakenAt is when a retry was taken from the budget that has not reached an endpoint yet, zero if there is none.
	retryTakenAt timekeeper.Millis
}

func newProxiedRequest(f *Forwarder, w http.ResponseWriter, r *http.Request) *proxiedRequest {
	p := &proxiedRequest{forwarder: f, writer: w, request: r, target: newTarget(r), arrivedAt: f.clock.Now(), cancel: func() {}, finishPrefill: func() {}}
	p.metadata, p.metadataErr = platform.DecodeRequestMetadata(r.Header)

	return p
}

func (p *proxiedRequest) timeLeft() timekeeper.Millis {
	return p.deadline - p.forwarder.clock.Now()
}

// run makes attempts until an endpoint has served the request or no further attempt is allowed.
func (p *proxiedRequest) run() {
	p.forwarder.recordRequest(p.service)
	d := dispatcher.Dispatcher{
		RetryState: retrier.State{Policy: retrier.Policy{
			CanRepeat: p.route.CanRepeat(),
			MaxRuns:   max(p.route.MaxAttempts, 1),
			Deadline:  p.deadline,
		}},
		ChooseEndpoint: p.chooseEndpoint,
		SendAttempt:    p.sendAttempt,
		TrySpendRetry:  p.trySpendRetry,
		HandleFailure:  p.handleFailure,
		Now:            p.forwarder.clock.Now,
	}
	if lastFailure, refusal := d.Run(); refusal != nil {
		p.respondUnserved(lastFailure, refusal)
	}
}

// chooseEndpoint waits for room and chooses an endpoint by the newest view, which may have changed while the request waited.
func (p *proxiedRequest) chooseEndpoint() *model.Refusal {
	p.view = p.forwarder.CurrentView()
	if refusal := p.enterRoom(); refusal != nil {
		p.giveBackRetry()

		return refusal
	}
	p.view = p.forwarder.CurrentView()
	choice, refusal := p.forwarder.chooseEndpoint(p.view, p.balancerRequest())
	if refusal == nil {
		p.choice = choice

		return nil
	}
	p.leaveRoom()
	if refusal.Code == model.CodeSoftwareGone {
		refusal.RetryAfter = p.afterDeadline()
	}

	return refusal
}

// sendAttempt makes one attempt at the chosen endpoint. Its cleanup is deferred because an aborted response panics: the
// request stops counting as running at the endpoint, its room is given back, and requests that wait for its prefill are released.
func (p *proxiedRequest) sendAttempt() *dispatcher.Failure {
	defer p.leaveRoom()
	defer p.forwarder.recordFinish(p.choice.Endpoint.ID)
	p.errorResponse = nil
	p.hasReached, p.isAnswered, p.isServedUnframed = false, false, false
	p.stream.hasEvents = false
	isServed := false
	defer func() { p.recordPlacementResult(isServed) }()
	defer p.recordUnanswered()
	defer p.recordEnd()
	p.coordinatePrefill()
	defer func() { p.finishPrefill() }()
	if refusal := p.checkQuarantine(); refusal != nil {
		return &dispatcher.Failure{AttemptFailure: retrier.AttemptFailure{IsFinal: true}, Refusal: refusal, Err: refusal}
	}

	p.recordWorkStart()
	defer func() { p.recordWorkEnd(isServed) }()
	failure := p.sendToEndpoint()
	isServed = failure == nil

	return failure
}

// coordinatePrefill keeps a burst of requests of a new session from prefilling their shared prompt several times at one
// endpoint. The first request prefills it; the others wait until that is done or their maximum wait has passed.
func (p *proxiedRequest) coordinatePrefill() {
	session := p.metadata.SessionID()
	if session == 0 {
		return
	}
	key := prefillKey{endpoint: p.choice.Endpoint.ID, session: session}
	p.finishPrefill = func() {}
	if p.choice.NeedsPrefill {
		p.finishPrefill = p.forwarder.prefills.begin(key)

		return
	}
	p.forwarder.prefills.wait(p.ctx, key, p.timeLeft()/prefillWaitDivisor)
}

func (p *proxiedRequest) balancerRequest() balancer.Request {
	return balancer.Request{
		Service:     p.service,
		Session:     p.metadata.SessionID(),
		SharedParts: p.metadata.SharedPrefix(),
		OwnTokens:   p.metadata.OwnTokens(),
		CanRepeat:   p.route.CanRepeat(),
		Software:    p.stream.software,
		Tried:       p.triedEndpoints,

		TargetLatency: p.route.TargetLatency,
	}
}

// handleFailure records a failed attempt and reports whether another one follows.
func (p *proxiedRequest) handleFailure(failure *dispatcher.Failure, next retrier.Action) bool {
	p.logFailedAttempt(failure)
	p.triedEndpoints = append(p.triedEndpoints, p.choice.Endpoint.ID)
	if next == retrier.ActionNoBudget {
		p.forwarder.log.Write(logger.EventRetryBudgetExhausted, p.logFields()...)
	}
	if next != retrier.ActionRetry {
		return false
	}
	requestsRetried.Inc()
	if p.stream.hasStarted {
		streamsResumed.Inc()
		p.forwarder.log.Write(logger.EventStreamResumed, p.logFields()...)
	}

	return true
}

// cannotRetry reports whether another attempt is pointless: the request has ended, or its stream has started and cannot be
// resumed.
func (p *proxiedRequest) cannotRetry() bool {
	return p.ctx.Err() != nil || p.stream.hasStarted && !p.canResume()
}

// canResume reports whether a stream that has started can go on at another endpoint. It goes on only at the software version
// that began it.
func (p *proxiedRequest) canResume() bool {
	return p.route.IsResumable && p.stream.events.LastEventID() != "" && p.stream.software != ""
}

// endpointRequest returns the request for the chosen endpoint. If a stream was interrupted, the request resumes it after the
// last relayed event.
func (p *proxiedRequest) endpointRequest() *connector.Request {
	header := p.header.Clone()
	lastEventID := p.metadata.LastEventID
	if p.stream.hasStarted {
		lastEventID = p.stream.events.LastEventID()
	}
	cacheSource := ""
	if e := p.choice.CacheSource; e != nil {
		cacheSource = e.Address
	}
	platform.EncodeEndpointHeaders(header, platform.EndpointHeaders{
		Target:      p.choice.Endpoint.ID,
		Account:     p.account.ID,
		Timeout:     max(p.timeLeft(), 1),
		LastEventID: lastEventID,
		CacheSource: cacheSource,
		Priority:    p.enginePriority(),
	})

	return &connector.Request{
		Method:     p.request.Method,
		RequestURI: p.target.uri,
		Host:       p.target.host,
		Header:     header,
		Body:       p.body,
	}
}
