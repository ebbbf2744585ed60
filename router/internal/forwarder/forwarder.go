package forwarder

import (
	"context"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/deferrer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/connector"
)

var (
	requestsServed      = metrics.NewCounter("gateway_requests_served_total")
	requestsRefused     = metrics.NewCounter("gateway_requests_refused_total")
	requestsRetried     = metrics.NewCounter("gateway_requests_resent_total")
	streamsResumed      = metrics.NewCounter("gateway_streams_resumed_total")
	streamsInterrupted  = metrics.NewCounter("gateway_streams_cut_total")
	callersDisconnected = metrics.NewCounter("gateway_callers_gone_total")
	requestsQuarantined = metrics.NewCounter("gateway_requests_quarantined_total")
	endpointCrashes     = metrics.NewCounter("gateway_endpoint_crashes_total")
	firstByteSeconds    = metrics.NewHistogram("gateway_first_byte_seconds")
	requestSeconds      = metrics.NewHistogram("gateway_request_seconds")
)

// Forwarder is the HTTP handler for callers' requests. Its decisions use the state that the gateway maintains.
type Forwarder struct {
	// CurrentView returns the gateway's current view of the configuration and the endpoints, nil if there is none yet.
	CurrentView func() *cataloguer.View
	// IsShuttingDown reports whether the gateway is shutting down; responses then tell callers to close their connections.
	IsShuttingDown func() bool
	// AskOrigin asks other gateways what they know of a stream, and returns the number of those that did not answer. Asking ends
	// with the context.
	AskOrigin func(context.Context, OriginQuestion) ([]resumer.Report, int)
	// ListReader returns the address of the gateway that asks an endpoint what it has cached, empty for this one.
	ListReader func(model.EndpointProcess) string
	// AskKept asks another gateway how much endpoints keep of a prompt part. It leaves out the endpoints of which that is not known.
	AskKept func(ctx context.Context, gateway string, q KeptQuestion) map[model.EndpointProcess]model.Tokens
	// RefreshEndpoints brings the list of endpoints up to date with the store. It returns false if the store does not answer before
	// the context ends.
	RefreshEndpoints func(context.Context) bool
	// SendOrigins makes the gateway send the unsent origins to others soon.
	SendOrigins func()
	// StoreSilence returns the time since the store last answered this gateway or another one.
	StoreSilence func() timekeeper.Millis
	// BodyStallTimeout is how long nothing of a request body may arrive, in milliseconds.
	BodyStallTimeout timekeeper.Millis
	// ThrottlePlainServices is true if requests wait or are refused when a service without an engine has no room for them.
	ThrottlePlainServices bool
	// StateReady is closed once the process has its first configuration and list of endpoints.
	StateReady <-chan struct{}
	// StateOutlook returns what is known of the way to the first configuration and list of endpoints.
	StateOutlook func() StateOutlook
	// Prioritizes is true if priorities of the configuration are passed on to engines and decide who draws on the retry budget.
	Prioritizes bool

	clock     timekeeper.Clock
	log       logger.Logger
	pool      *connector.Pool
	startedAt timekeeper.Millis
	prefills  *prefillTracker
	// bodyMemory bounds the bodies of all requests.
	bodyMemory *bodyMemory
	shutdown   *shutdown

	mu           sync.Mutex
	balancer     *balancer.Balancer
	retryBudget  *budgeter.RetryBudget
	crashTracker *quarantiner.CrashTracker
	// crashChecks holds the running checks for crashes by endpoint.
	crashChecks map[model.EndpointID]*crashCheck
	origins     *resumer.OriginTable
	versions    *resumer.VersionHistory
	// longestTimeouts holds the longest time that a caller of each service has been ready to wait for a resumable stream.
	longestTimeouts map[model.ServiceID]timekeeper.Millis
	maxSilence      timekeeper.Millis
	partOwners      map[model.ServiceID]*resumer.PartOwners
	cacheLists      *cacheLists
	returns         *deferrer.Deferrer
	prioritizer     *prioritizer.Prioritizer
	rooms           map[model.ServiceID]*room
}

// NewForwarder returns a forwarder that sends requests over the connections of a pool. Its exported fields
// must be set before it serves requests.
func NewForwarder(b *balancer.Balancer, r *budgeter.RetryBudget, l ResumeLimits, p *connector.Pool, clock timekeeper.Clock, log logger.Logger) *Forwarder {
	crashTracker := quarantiner.NewCrashTracker()
	crashTracker.FleetSize = func() int { return len(b.Membership.Members()) }

	return &Forwarder{
		CurrentView:      func() *cataloguer.View { return nil },
		IsShuttingDown:   func() bool { return false },
		AskOrigin:        noOrigins,
		ListReader:       asksItself,
		AskKept:          knowsNothing,
		SendOrigins:      func() {},
		RefreshEndpoints: func(context.Context) bool { return false },
		StoreSilence:     func() timekeeper.Millis { return 0 },
		BodyStallTimeout: defaultBodyStallTimeout,
		StateReady:       make(chan struct{}),
		StateOutlook:     func() StateOutlook { return OutlookOpen },
		clock:            clock,
		log:              log,
		pool:             p,
		startedAt:        clock.Now(),
		prefills:         newPrefillTracker(),
		bodyMemory:       newBodyMemory(defaultMaxBodyMemory),
		shutdown:         newShutdown(),
		balancer:         b,
		retryBudget:      r,
		crashTracker:     crashTracker,
		crashChecks:      map[model.EndpointID]*crashCheck{},
		origins:          resumer.NewOriginTable(),
		versions:         resumer.NewVersionHistory(l.Linger, clock.Now()),
		longestTimeouts:  map[model.ServiceID]timekeeper.Millis{},
		maxSilence:       l.MaxSilence,
		partOwners:       map[model.ServiceID]*resumer.PartOwners{},
		cacheLists:       newCacheLists(p, clock),
		returns:          deferrer.NewDeferrer(),
		prioritizer:      newPrioritizer(log),
		rooms:            map[model.ServiceID]*room{},
	}
}

// ExpireLosses forgets lost requests that no crash can be counted against any more.
func (f *Forwarder) ExpireLosses() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashTracker.Expire(f.clock.Now())
}

// UpdateBalancer calls update with the balancer and the retry budget, while it holds the forwarder's lock.
func (f *Forwarder) UpdateBalancer(update func(*balancer.Balancer, *budgeter.RetryBudget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(f.balancer, f.retryBudget)
}

// ServeHTTP forwards a caller's request to an endpoint and writes the response, or refuses the request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := newProxiedRequest(f, w, r)
	p.waitForState()
	defer func() { p.cancel() }()
	defer p.releaseBody()
	if refusal := p.prepare(); refusal != nil {
		if !p.arrival.isRefused {
			p.refuse(refusal)
		}

		return
	}
	p.run()
}

// chooseEndpoint selects an endpoint and counts the request as running there until recordFinish is called.
func (f *Forwarder) chooseEndpoint(v *cataloguer.View, request balancer.Request) (balancer.Choice, *model.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	choice, refusal := f.balancer.Choose(v, request, now)
	if refusal == nil {
		f.balancer.RecordStart(choice.Endpoint.ID, now)
	}

	return choice, refusal
}

func (f *Forwarder) recordFinish(id model.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RecordFinish(id)
}

// recordBreakerResult updates the circuit breaker of an endpoint.
func (f *Forwarder) recordBreakerResult(id model.EndpointID, succeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if succeeded {
		f.balancer.RecordSuccess(id)
	} else {
		f.balancer.RecordFailure(id, f.clock.Now())
	}
}

// recordRequest counts a request towards the retry budget of its service.
func (f *Forwarder) recordRequest(id model.ServiceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.RecordRequest(id, f.clock.Now())
}

// trySpendRetry takes a retry from the budget of a service and returns the time of that, or zero if the budget is exhausted or what is
// left of it is for more urgent requests.
func (f *Forwarder) trySpendRetry(id model.ServiceID, d budgeter.Draw) (takenAt timekeeper.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	d.Gateways = len(f.balancer.Membership.SettledMembers(now))

	if !f.retryBudget.TrySpend(id, d, now) {
		return 0
	}

	return now
}

// giveBackRetry returns a retry that was taken at a time to the budget of a service.
func (f *Forwarder) giveBackRetry(id model.ServiceID, takenAt timekeeper.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.GiveBack(id, takenAt, f.clock.Now())
}
