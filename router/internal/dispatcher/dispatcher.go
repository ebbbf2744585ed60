package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
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
)

// Request is one request of a caller.
type Request struct {
	Run      *messenger.RunRequest
	Hint     model.EndpointID
	Deadline timekeeper.Millis
}

// Dispatcher sends requests for one router.
type Dispatcher struct {
	follower *follower.Follower
	tracer   *tracer.Tracer
	token    string
	domain   model.DomainID
	http     *http.Client

	mu     sync.Mutex
	budget *retrier.Budget
	// breakers are kept only for endpoints that have failed once.
	breakers map[model.EndpointID]*retrier.Breaker
	clients  map[string]messengerconnect.EndpointClient
}

// NewDispatcher returns the dispatcher of a router.
func NewDispatcher(s follower.Settings, f *follower.Follower, t *tracer.Tracer) *Dispatcher {
	transport := runner.NewTransport()
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport.DialContext = dialer.DialContext

	return &Dispatcher{
		follower: f,
		tracer:   t,
		token:    s.Token,
		domain:   model.DomainID(s.Domain),
		http:     &http.Client{Transport: transport},
		budget:   retrier.NewBudget(),
		breakers: map[model.EndpointID]*retrier.Breaker{},
		clients:  map[string]messengerconnect.EndpointClient{},
	}
}

// Dispatch returns the started answer of a request, or its final refusal.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request) (*Answer, *model.Refusal) {
	a := &attempt{
		request:  r,
		excluded: map[model.EndpointID]bool{},
		used: retrier.Request{
			Idempotent: r.Run.Idempotent,
			Keyed:      r.Run.IdempotencyKey != "",
			Deadline:   r.Deadline,
		},
	}
	firstTries.Inc()
	d.mu.Lock()
	d.budget.Earn()
	d.mu.Unlock()
	for {
		t, refusal := d.choose(a)
		if refusal != nil && refusal.Code == model.CodeNoEndpoint && a.last != nil {
			refusal = a.last
		}
		if refusal != nil {
			return nil, a.finish(refusal)
		}
		answer, refusal := d.try(ctx, a, t)
		if refusal == nil {
			return answer, nil
		}
		if !d.goOn(ctx, a, t, refusal) {
			return nil, a.finish(refusal)
		}
	}
}

func (d *Dispatcher) client(address string) messengerconnect.EndpointClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[address]
	if !ok {
		c = messengerconnect.NewEndpointClient(d.http, "http://"+address, follower.WithToken(d.token))
		d.clients[address] = c
	}

	return c
}
