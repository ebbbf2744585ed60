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
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

const (
	defaultTimeout = timekeeper.Minute
	// defaultBody bounds bodies, in bytes, where the configuration does not.
	defaultBody = 16 << 20
	startWait   = 500 * timekeeper.Millis(1)
	// readShare divides the time left into what a request waits while its prompt is read for another one.
	readShare = 8
)

// job is one request of a caller from its arrival to its end.
type job struct {
	f *Forwarder
	w http.ResponseWriter
	r *http.Request

	view    *cataloguer.View
	facts   model.RequestMetadata
	route   *cataloguer.Route
	service model.ServiceID
	account cataloguer.Account
	header  http.Header
	body    []byte
	ctx     context.Context
	cancel  context.CancelFunc
	arrived timekeeper.Millis
	limit   timekeeper.Millis

	// arrivals is the number of endpoints that the request has reached.
	arrivals int
	tried    []model.EndpointID
	choice   balancer.Choice
	stream   stream
	// ownFailures are the endpoints that have answered the request with a failure of their own.
	ownFailures []model.EndpointID
	// reply is the failure that the last endpoint itself has answered with, to be passed on if nothing better comes.
	reply *reply
	// read tells others that wait for the same prompt to go on.
	read func()
	// fingerprint is the same for all attempts of a caller at one request.
	fingerprint model.Fingerprint
}

func newJob(f *Forwarder, w http.ResponseWriter, r *http.Request) *job {
	return &job{f: f, w: w, r: r, arrived: f.clock.Now(), cancel: func() {}, read: func() {}}
}

// open finds what the request is and who sent it; it refuses what must not go on.
func (j *job) open() *model.Refusal {
	j.view = j.f.View()
	if j.view == nil {
		return model.NewRefusal(model.CodeNotReady, "no configuration is known yet").WithRetryAfter(startWait)
	}
	facts, err := platform.DecodeRequestMetadata(j.r.Header)
	j.facts = facts
	if err != nil {
		return model.NewRefusal(model.CodeBadRequest, err.Error())
	}
	j.route = j.view.Configuration.Route(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		return model.NewRefusal(model.CodeUnknownService, "no route has this host and path")
	}
	account, ok := j.view.Configuration.Account(j.route, facts.APIKey)
	if !ok {
		return model.NewRefusal(model.CodeUnauthorized, "no client account has this key")
	}
	j.account = account
	j.setLimit()
	j.service = j.route.PickService(j.point())
	j.header = outgoing(j.r.Header)
	if refusal := j.readBody(); refusal != nil {
		return refusal
	}

	return j.checkMarks()
}

// checkMarks refuses a request that has crashed the endpoints that ran it.
func (j *job) checkMarks() *model.Refusal {
	d := xxhash.New()
	for _, part := range []string{j.r.Method, j.r.Host, j.r.RequestURI, string(j.account.ID)} {
		// Writing to a hash never fails.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.body)
	j.fingerprint = model.Fingerprint(d.Sum64())
	condemned, span := j.f.condemned(j.fingerprint)
	if !condemned {
		return nil
	}

	return model.NewRefusal(model.CodeRequestQuarantined, "the request has crashed the endpoints that ran it").WithRetryAfter(span)
}

// setLimit ends the request at the caller's deadline or the route's timeout, whichever is first.
func (j *job) setLimit() {
	span := j.route.Timeout
	if span <= 0 {
		span = defaultTimeout
	}
	if j.facts.Timeout > 0 {
		span = min(span, j.facts.Timeout)
	}
	j.limit = j.arrived + span
	j.ctx, j.cancel = context.WithTimeout(j.r.Context(), (j.limit - j.f.clock.Now()).Duration())
}

// point spreads requests over the services of a route; requests of one session stay together.
func (j *job) point() float64 {
	h := j.facts.SessionID()
	if h == 0 {
		h = xxhash.Sum64String(string(j.facts.AttemptID))
	}

	return float64(hasher.Mix(h^xxhash.Sum64String(j.route.Name))>>11) / (1 << 53)
}

func (j *job) left() timekeeper.Millis {
	return j.limit - j.f.clock.Now()
}

// run sends the request until an endpoint has served it or nothing more may be tried.
func (j *job) run() {
	j.f.earn(j.service)
	d := dispatcher.Dispatcher{
		Request: retrier.State{Policy: retrier.Policy{
			CanRepeat: j.route.CanRepeat(),
			MaxRuns:   max(j.route.MaxAttempts, 1),
			Deadline:  j.limit,
		}},
		Choose:  j.choose,
		Attempt: j.try,
		Spend:   func() bool { return j.f.spend(j.service) },
		Failed:  j.failed,
		Now:     j.f.clock.Now,
	}
	if last, refusal := d.Run(); refusal != nil {
		j.giveUp(last, refusal)
	}
}

func (j *job) choose() *model.Refusal {
	choice, refusal := j.f.choose(j.view, j.query())
	if refusal == nil {
		j.choice = choice
	}

	return refusal
}

// try makes one attempt and gives its place at the endpoint back, also when the caller's connection is aborted.
func (j *job) try() *dispatcher.Failure {
	defer j.f.finish(j.choice.Endpoint.ID)
	j.reply = nil
	j.shareRead()
	defer func() { j.read() }()

	return j.attempt()
}

// shareRead has the session's prompt read for others too, or waits until it has been read for another request.
func (j *job) shareRead() {
	session := j.facts.SessionID()
	if session == 0 {
		return
	}
	k := readKey{endpoint: j.choice.Endpoint.ID, session: session}
	j.read = func() {}
	if j.choice.NeedsPrefill {
		j.read = j.f.reads.begin(k)

		return
	}
	j.f.reads.wait(j.ctx, k, j.left()/readShare)
}

func (j *job) query() balancer.Request {
	return balancer.Request{
		Service:      j.service,
		Session:      j.facts.SessionID(),
		SharedParts:  j.facts.SharedPrefix(),
		IsIdempotent: j.route.CanRepeat(),
		Tried:        j.tried,
	}
}

// failed prepares the attempt that follows a failed one.
func (j *job) failed(fault *dispatcher.Failure, next retrier.Action) bool {
	j.logAttempt(fault)
	j.tried = append(j.tried, j.choice.Endpoint.ID)
	if next == retrier.ActionNoBudget {
		j.f.log.Write(logger.EventRetryBudgetExhausted, j.fields()...)
	}
	if next != retrier.ActionRetry {
		return false
	}
	resent.Inc()
	if j.stream.started {
		resumed.Inc()
		j.f.log.Write(logger.EventStreamResumed, j.fields()...)
	}
	j.view = j.f.View()

	return true
}

// lost tells whether nothing can be sent on to the caller any more, or only by an endpoint that may not go on.
func (j *job) lost() bool {
	return j.ctx.Err() != nil || j.stream.started && (!j.route.IsResumable || j.stream.last == "")
}

func (j *job) request() *connector.Request {
	header := j.header.Clone()
	last := j.facts.LastEventID
	if j.stream.last != "" {
		last = j.stream.last
	}
	fetch := ""
	if e := j.choice.CacheSource; e != nil {
		fetch = e.Address
	}
	platform.EncodeEndpointHeaders(header, platform.EndpointHeaders{
		Target:      j.choice.Endpoint.ID,
		Account:     j.account.ID,
		Timeout:     max(j.left(), 1),
		LastEventID: last,
		CacheSource: fetch,
		Priority:    -1,
	})

	return &connector.Request{
		Method: j.r.Method,
		Target: j.r.RequestURI,
		Host:   j.r.Host,
		Header: header,
		Body:   j.body,
	}
}
