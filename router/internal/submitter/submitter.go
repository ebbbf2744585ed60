package submitter

import (
	"context"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
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

// Metrics of the router. requestsTotal counts each request once, regardless of its number of attempts.
var (
	requestsTotal           = metrics.NewCounter("router_first_tries_total")
	retriesTotal            = metrics.NewCounter("router_retries_total")
	redirectsTotal          = metrics.NewCounter("router_redirects_total")
	responseMismatchesTotal = metrics.NewCounter("router_crossed_answers_total")
)

const (
	dialTimeout = 500 * timekeeper.Millis(1)
	// sameEndpointRetryDelay is the delay before an attempt that may go to the same endpoint again.
	sameEndpointRetryDelay = 100 * timekeeper.Millis(1)
	// maxRetries is the maximum number of retries of one request. Redirects do not count.
	maxRetries = 3
	// minAttemptTime is the least time for the round trip to a sidecar.
	minAttemptTime = 50 * timekeeper.Millis(1)
)

// retryLimits allow a router one retry per ten requests and 60 more in each window.
var retryLimits = budgeter.RetryLimits{Ratio: 0.1, Slack: 60, Window: 10 * timekeeper.Second}

// Request is one request of a caller. RunRequest is the message to the sidecar; Submit sets the fields that differ between
// attempts. PlacementHint is the endpoint that the caller prefers, if any. Deadline is a time of the follower's clock.
type Request struct {
	RunRequest    *messenger.RunRequest
	PlacementHint model.EndpointID
	Deadline      timekeeper.Millis
}

// Submitter sends the requests of one router. It is safe for concurrent use.
type Submitter struct {
	follower   *follower.Follower
	tracer     *tracer.Tracer
	token      string
	domain     model.DomainID
	httpClient *http.Client

	mu          sync.Mutex
	retryBudget *budgeter.RetryBudget
	// breakers holds the circuit breakers of the endpoints that have failed at least once.
	breakers map[model.EndpointID]*retrier.Breaker
	// clients holds the RPC clients by address.
	clients map[string]messengerconnect.EndpointClient
}

// NewSubmitter returns the submitter of a router.
func NewSubmitter(s follower.Settings, f *follower.Follower, t *tracer.Tracer) *Submitter {
	transport := runner.NewTransport()
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport.DialContext = dialer.DialContext

	return &Submitter{
		follower:    f,
		tracer:      t,
		token:       s.Token,
		domain:      model.DomainID(s.Domain),
		httpClient:  &http.Client{Transport: transport},
		retryBudget: budgeter.NewRetryBudget(retryLimits),
		breakers:    map[model.EndpointID]*retrier.Breaker{},
		clients:     map[string]messengerconnect.EndpointClient{},
	}
}

// Submit sends a request and returns its started response, which must be closed, or the final refusal.
func (s *Submitter) Submit(ctx context.Context, r *Request) (*Response, *model.Refusal) {
	requestsTotal.Inc()
	service := model.ServiceID(r.RunRequest.Service)
	s.recordRequest(service)
	j := &job{submitter: s, ctx: ctx, request: r, excluded: map[model.EndpointID]bool{}}
	d := dispatcher.Dispatcher{
		RetryState: retrier.State{Policy: retrier.Policy{
			CanRepeat:      r.RunRequest.Idempotent,
			MaxRetries:     maxRetries,
			Deadline:       r.Deadline,
			MinAttemptTime: minAttemptTime,
		}},
		ChooseEndpoint: j.chooseTarget,
		SendAttempt:    j.sendAttempt,
		TrySpendRetry:  func() bool { return s.trySpendRetry(service) },
		HandleFailure:  j.handleFailure,
		Now:            s.follower.Clock.Now,
	}
	if _, refusal := d.Run(); refusal != nil {
		return nil, refusal
	}

	return j.response, nil
}

func (s *Submitter) recordRequest(id model.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.RecordRequest(id, s.follower.Clock.Now())
}

func (s *Submitter) trySpendRetry(id model.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.retryBudget.TrySpend(id, budgeter.Draw{Gateways: 1}, s.follower.Clock.Now())
}

// clientFor returns the RPC client of the sidecar at an address.
func (s *Submitter) clientFor(address string) messengerconnect.EndpointClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[address]
	if !ok {
		c = messengerconnect.NewEndpointClient(s.httpClient, "http://"+address, follower.WithToken(s.token), connect.WithReadMaxBytes(maxMessageBytes))
		s.clients[address] = c
	}

	return c
}
