package submitter

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/router/internal/dispatcher"
)

var (
	firstTries = metrics.NewCounter("router_first_tries_total")
	retries    = metrics.NewCounter("router_retries_total")
	redirects  = metrics.NewCounter("router_redirects_total")
	crossed    = metrics.NewCounter("router_crossed_answers_total")
)

const (
	dialTimeout = 500 * timekeeper.Millis(1)
	stalePause  = 100 * timekeeper.Millis(1)
	markSpan    = timekeeper.Minute
	// maxRetries bounds the charged retries of one request.
	maxRetries = 3
	// minTimeLeft is what the way to a sidecar and back takes at least.
	minTimeLeft = 50 * timekeeper.Millis(1)
)

// retryTerms allow a router one retry for ten requests, and some beside that.
var retryTerms = budgeter.RetryLimits{Ratio: 0.1, Slack: 60, Window: 10 * timekeeper.Second}

// Request is one request of a caller.
type Request struct {
	Run      *messenger.RunRequest
	Hint     model.EndpointID
	Deadline timekeeper.Millis
}

// Submitter sends the requests of one router.
type Submitter struct {
	follower *follower.Follower
	tracer   *tracer.Tracer
	token    string
	domain   model.DomainID
	http     *http.Client

	mu      sync.Mutex
	retries *budgeter.RetryBudget
	// breakers are kept only for endpoints that have failed once.
	breakers map[model.EndpointID]*retrier.Breaker
	clients  map[string]messengerconnect.EndpointClient
}

// NewSubmitter returns the submitter of a router.
func NewSubmitter(s follower.Settings, f *follower.Follower, t *tracer.Tracer) *Submitter {
	transport := runner.NewTransport()
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport.DialContext = dialer.DialContext

	return &Submitter{
		follower: f,
		tracer:   t,
		token:    s.Token,
		domain:   model.DomainID(s.Domain),
		http:     &http.Client{Transport: transport},
		retries:  budgeter.NewRetryBudget(retryTerms),
		breakers: map[model.EndpointID]*retrier.Breaker{},
		clients:  map[string]messengerconnect.EndpointClient{},
	}
}

// Submit returns the started answer of a request, or its final refusal.
func (s *Submitter) Submit(ctx context.Context, r *Request) (*Answer, *model.Refusal) {
	firstTries.Inc()
	service := model.ServiceID(r.Run.Service)
	s.earn(service)
	j := &job{submitter: s, ctx: ctx, request: r, excluded: map[model.EndpointID]bool{}}
	d := dispatcher.Dispatcher{
		RetryState: retrier.State{Policy: retrier.Policy{
			CanRepeat:      r.Run.Idempotent,
			MaxRetries:     maxRetries,
			Deadline:       r.Deadline,
			MinAttemptTime: minTimeLeft,
		}},
		ChooseEndpoint: j.choose,
		SendAttempt:    j.attempt,
		TrySpendRetry:  func() bool { return s.spend(service) },
		HandleFailure:  j.failed,
		Now:            s.follower.Clock.Now,
	}
	if _, refusal := d.Run(); refusal != nil {
		return nil, refusal
	}

	return j.answer, nil
}

func (s *Submitter) earn(id model.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.RecordRequest(id, s.follower.Clock.Now())
}

func (s *Submitter) spend(id model.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.retries.TrySpend(id, 1, s.follower.Clock.Now())
}

func (s *Submitter) client(address string) messengerconnect.EndpointClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[address]
	if !ok {
		c = messengerconnect.NewEndpointClient(s.http, "http://"+address, follower.WithToken(s.token))
		s.clients[address] = c
	}

	return c
}
