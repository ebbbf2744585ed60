package forwarder

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
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

	view      *cataloguer.View
	metadata  model.RequestMetadata
	route     *cataloguer.Route
	service   model.ServiceID
	account   cataloguer.Account
	header    http.Header
	body      []byte
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
	stream          streamState
	// errorEndpoints are the endpoints that have responded with an error status.
	errorEndpoints []model.EndpointID
	// errorResponse is the error response of the last attempt, nil if it had none. It is relayed if no attempt follows.
	errorResponse *bufferedResponse
	// finishPrefill releases the requests that wait for this request's prefill.
	finishPrefill func()
	// suspects is what is blamed if an endpoint crashes on the request.
	suspects []quarantiner.Suspect
}

func newProxiedRequest(f *Forwarder, w http.ResponseWriter, r *http.Request) *proxiedRequest {
	return &proxiedRequest{forwarder: f, writer: w, request: r, arrivedAt: f.clock.Now(), cancel: func() {}, finishPrefill: func() {}}
}

// prepare finds the request's route, client account and service and reads its body. It refuses requests that are not to be
// forwarded.
func (p *proxiedRequest) prepare() *model.Refusal {
	p.view = p.forwarder.CurrentView()
	if p.view == nil {
		return model.NewRefusal(model.CodeNotReady, "no configuration is known yet").WithRetryAfter(earlyRefusalRetryAfter)
	}
	metadata, err := platform.DecodeRequestMetadata(p.request.Header)
	p.metadata = metadata
	if err != nil {
		return model.NewRefusal(model.CodeBadRequest, err.Error())
	}
	p.route = p.view.Configuration.Route(p.request.Host, p.request.URL.Path)
	if p.route == nil {
		return model.NewRefusal(model.CodeUnknownService, "no route has this host and path")
	}
	account, ok := p.view.Configuration.Account(p.route, metadata.APIKey)
	if !ok {
		return model.NewRefusal(model.CodeUnauthorized, "no client account has this key")
	}
	p.account = account
	p.setDeadline()
	p.service = p.route.PickService(p.trafficSplitPoint())
	p.header = endToEndHeaders(p.request.Header)
	if refusal := p.readBody(); refusal != nil {
		return refusal
	}

	if p.route.IsResumable {
		p.forwarder.recordCallerTimeout(p.service, p.callerTimeLeft())
	}
	p.suspects = p.findSuspects()
	p.recordPartOwner()
	if refusal := p.checkQuarantine(); refusal != nil {
		return refusal
	}
	if p.metadata.LastEventID != "" {
		return p.findOrigin()
	}

	return nil
}

// findSuspects returns what may crash an endpoint in the request: the request as a whole, and each part of its prompt that other
// requests can share.
func (p *proxiedRequest) findSuspects() []quarantiner.Suspect {
	suspects := []quarantiner.Suspect{
		quarantiner.NewRequestSuspect(p.request.Method, p.request.Host, p.request.RequestURI, p.account.ID, p.body),
	}
	for _, part := range p.metadata.PartsBeforeLast() {
		suspects = append(suspects, quarantiner.NewPartSuspect(p.metadata.Model, part.ID))
	}

	return suspects
}

// checkQuarantine refuses a request if something in it has crashed the endpoints that ran it.
func (p *proxiedRequest) checkQuarantine() *model.Refusal {
	suspect, retryAfter, isQuarantined := p.forwarder.quarantinedSuspect(p.suspects)
	if !isQuarantined {
		return nil
	}
	detail := "the request has crashed the endpoints that ran it"
	if suspect.Kind == quarantiner.KindPart {
		detail = "requests with a part of this prompt have crashed the endpoints that ran them"
	}

	return model.NewRefusal(model.CodeRequestQuarantined, detail).WithRetryAfter(retryAfter)
}

// setDeadline sets the request's deadline to the caller's timeout or the route's, whichever is shorter.
func (p *proxiedRequest) setDeadline() {
	timeout := p.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if p.metadata.Timeout > 0 {
		timeout = min(timeout, p.metadata.Timeout)
	}
	p.deadline = p.arrivedAt + timeout
	p.ctx, p.cancel = context.WithTimeout(p.request.Context(), (p.deadline - p.forwarder.clock.Now()).Duration())
}

// trafficSplitPoint returns a number in [0, 1) that selects one of the route's services. It is the same for all requests of
// a session, so that a session stays with one service.
func (p *proxiedRequest) trafficSplitPoint() float64 {
	hash := p.metadata.SessionID()
	if hash == 0 {
		hash = xxhash.Sum64String(string(p.metadata.AttemptID))
	}

	return float64(hasher.Mix(hash^xxhash.Sum64String(p.route.Name))>>11) / (1 << 53)
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
		TrySpendRetry:  func() bool { return p.forwarder.trySpendRetry(p.service) },
		HandleFailure:  p.handleFailure,
		Now:            p.forwarder.clock.Now,
	}
	if lastFailure, refusal := d.Run(); refusal != nil {
		p.respondUnserved(lastFailure, refusal)
	}
}

func (p *proxiedRequest) chooseEndpoint() *model.Refusal {
	choice, refusal := p.forwarder.chooseEndpoint(p.view, p.balancerRequest())
	if refusal == nil {
		p.choice = choice

		return nil
	}
	if refusal.Code == model.CodeSoftwareGone {
		refusal.RetryAfter = p.afterDeadline()
	}

	return refusal
}

// sendAttempt makes one attempt at the chosen endpoint. Its cleanup is deferred because an aborted response panics: the
// request stops counting as running at the endpoint, and requests that wait for its prefill are released.
func (p *proxiedRequest) sendAttempt() *dispatcher.Failure {
	defer p.forwarder.recordFinish(p.choice.Endpoint.ID)
	p.errorResponse = nil
	p.hasReached, p.isAnswered, p.isServedUnframed = false, false, false
	defer p.recordUnanswered()
	p.coordinatePrefill()
	defer func() { p.finishPrefill() }()
	if refusal := p.checkQuarantine(); refusal != nil {
		return &dispatcher.Failure{AttemptFailure: retrier.AttemptFailure{IsFinal: true}, Refusal: refusal, Err: refusal}
	}

	return p.sendToEndpoint()
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
		CanRepeat:   p.route.CanRepeat(),
		Software:    p.stream.software,
		Tried:       p.triedEndpoints,
	}
}

// handleFailure records a failed attempt and reports whether another one follows; if so, it loads the newest view for it.
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
	p.view = p.forwarder.CurrentView()

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
	return p.route.IsResumable && p.stream.lastEventID != "" && p.stream.software != ""
}

// endpointRequest returns the request for the chosen endpoint. If a stream was interrupted, the request resumes it after the
// last relayed event.
func (p *proxiedRequest) endpointRequest() *connector.Request {
	header := p.header.Clone()
	lastEventID := p.metadata.LastEventID
	if p.stream.lastEventID != "" {
		lastEventID = p.stream.lastEventID
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
		Priority:    -1,
	})

	return &connector.Request{
		Method:     p.request.Method,
		RequestURI: p.request.RequestURI,
		Host:       p.request.Host,
		Header:     header,
		Body:       p.body,
	}
}
