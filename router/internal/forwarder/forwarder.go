package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
	"cardamompulley/router/internal/connector"
)

var (
	served       = metrics.NewCounter("gateway_requests_served_total")
	refused      = metrics.NewCounter("gateway_requests_refused_total")
	resent       = metrics.NewCounter("gateway_requests_resent_total")
	resumed      = metrics.NewCounter("gateway_streams_resumed_total")
	cut          = metrics.NewCounter("gateway_streams_cut_total")
	gone         = metrics.NewCounter("gateway_callers_gone_total")
	firstLatency = metrics.NewHistogram("gateway_first_byte_seconds")
	totalLatency = metrics.NewHistogram("gateway_request_seconds")
)

// Forwarder serves callers from the state that the controllers of a gateway keep.
type Forwarder struct {
	// View returns what the gateway believes now.
	View func() *cataloguer.View
	// Closing tells whether kept connections are to be closed after their answers.
	Closing func() bool
	// Known is closed once the process holds a first configuration and list of endpoints.
	Known <-chan struct{}

	clock   timekeeper.Clock
	log     logger.Logger
	pool    *connector.Pool
	started timekeeper.Millis
	reads   *reads

	mu       sync.Mutex
	balancer *balancer.Balancer
	retries  *budgeter.RetryBudget
	suspects *quarantiner.CrashTracker
}

// NewForwarder returns a forwarder that sends over the connections of a pool.
func NewForwarder(b *balancer.Balancer, r *budgeter.RetryBudget, p *connector.Pool, clock timekeeper.Clock, log logger.Logger) *Forwarder {
	return &Forwarder{
		View:     func() *cataloguer.View { return nil },
		Closing:  func() bool { return false },
		Known:    make(chan struct{}),
		clock:    clock,
		log:      log,
		pool:     p,
		started:  clock.Now(),
		reads:    newReads(),
		balancer: b,
		retries:  r,
		suspects: quarantiner.NewCrashTracker(quarantiner.NewRegistry()),
	}
}

// Marks changes what is known of requests that crash endpoints under its lock.
func (f *Forwarder) Marks(change func(*quarantiner.Registry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.suspects.Registry)
}

// Update changes the state behind the decisions under their lock.
func (f *Forwarder) Update(change func(*balancer.Balancer, *budgeter.RetryBudget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.balancer, f.retries)
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.awaitState(r.Context())
	j := newJob(f, w, r)
	defer func() { j.cancel() }()
	if f.Closing() {
		w.Header().Set("Connection", "close")
	}
	if refusal := j.open(); refusal != nil {
		j.refuse(refusal)

		return
	}
	j.run()
}

// lateWait is when a caller whose connection came to an ending process may come back; it will find another one.
const lateWait = 100 * timekeeper.Millis(1)

// RefuseLate refuses a request that comes when the process is about to end.
func (f *Forwarder) RefuseLate(w http.ResponseWriter, r *http.Request) {
	j := newJob(f, w, r)
	// Without a readable attempt id the refusal carries none.
	j.facts, _ = platform.DecodeRequestMetadata(r.Header)
	w.Header().Set("Connection", "close")
	j.refuse(model.NewRefusal(model.CodeNotReady, "this gateway is stopping").WithRetryAfter(lateWait))
}

// startPatience is how long a request waits for the first state of a process that has just started.
const startPatience = 300 * timekeeper.Millis(1)

// awaitState lets requests that come with the start of the process wait for the state that is on its way.
func (f *Forwarder) awaitState(ctx context.Context) {
	select {
	case <-f.Known:
		return
	default:
	}
	left := f.started + startPatience - f.clock.Now()
	if left <= 0 {
		return
	}
	t := time.NewTimer(left.Duration())
	defer t.Stop()
	select {
	case <-f.Known:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Forwarder) choose(v *cataloguer.View, q balancer.Request) (balancer.Choice, *model.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	c, refusal := f.balancer.Choose(v, q, now)
	if refusal == nil {
		f.balancer.RecordStart(c.Endpoint.ID, now)
	}

	return c, refusal
}

func (f *Forwarder) finish(id model.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RecordFinish(id)
}

func (f *Forwarder) noteHealth(id model.EndpointID, good bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if good {
		f.balancer.RecordSuccess(id)
	} else {
		f.balancer.RecordFailure(id, f.clock.Now())
	}
}

func (f *Forwarder) earn(id model.ServiceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.RecordRequest(id, f.clock.Now())
}

func (f *Forwarder) spend(id model.ServiceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()

	return f.retries.TrySpend(id, len(f.balancer.Membership.SettledMembers(now)), now)
}

// blame notes a request whose connection broke.
func (f *Forwarder) blame(id model.EndpointID, p model.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.RecordLost(id, p, f.clock.Now())
}

// crashed notes that nobody listens at an endpoint's address.
func (f *Forwarder) crashed(id model.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.RecordCrash(id, f.clock.Now())
}

// condemned tells whether a request has crashed too many endpoints, and for how long it is refused.
func (f *Forwarder) condemned(p model.Fingerprint) (bool, timekeeper.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.suspects.IsRefused(p, f.clock.Now())
}

// clear forgets the marks of a request that an endpoint has served.
func (f *Forwarder) clear(p model.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.Registry.Remove(p)
}
