package worker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/holder"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/runner"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/sidecar/internal/prober"
	"cardamompulley/sidecar/internal/relayer"
	"cardamompulley/sidecar/internal/settings"
)

var (
	requestsRunTotal        = metrics.NewCounter("sidecar_requests_run_total")
	requestsRefusedTotal    = metrics.NewCounter("sidecar_requests_refused_total")
	responseMismatchesTotal = metrics.NewCounter("sidecar_crossed_answers_total")
)

// Worker executes the requests of one endpoint and serves the RPCs of its sidecar. It is safe for concurrent use. Where both
// locks are needed, the follower's lock is acquired before mu.
type Worker struct {
	self        model.EndpointID
	incarnation model.IncarnationID
	token       string
	clock       timekeeper.Clock
	log         logger.Logger
	follower    *follower.Follower
	relayer     *relayer.Relayer
	prober      *prober.Prober
	tracer      *tracer.Tracer
	httpClient  *http.Client
	chain       handler
	domain      model.DomainID

	mu              sync.Mutex
	idempotencyKeys *deduplicator.Deduplicator
	// keyDone has a channel for each key in progress, closed when the key has ended.
	keyDone  map[deduplicator.Key]chan struct{}
	admitter *admitter.Admitter
	guard    *quarantiner.Guard
	// guardChanged is closed and replaced each time a request leaves the guard.
	guardChanged chan struct{}
	chatHolders  *holder.Directory
	// waiters has a channel for each queued request, which receives nil for admission or a refusal.
	waiters    map[admitter.Ticket]chan *model.Refusal
	lastTicket admitter.Ticket
	// pendingNotes holds the notes to be sent, by home. notesQueued signals that there are some.
	pendingNotes   map[model.EndpointID][]*messenger.HolderNote
	notesQueued    chan struct{}
	isShuttingDown bool
	isDown         bool
	// drained is closed during a shutdown when no call is active any more.
	drained     chan struct{}
	activeCalls int
}

// NewWorker returns the worker of a new incarnation of the sidecar. The endpoint counts as down until the first successful
// probe. It returns an error if the chat directory's size is not positive.
func NewWorker(s settings.Settings, f *follower.Follower, t *tracer.Tracer) (*Worker, error) {
	chatHolders, err := holder.NewDirectory(s.MaxDirectoryChats)
	if err != nil {
		return nil, fmt.Errorf("worker: endpoint %s: %w", s.Endpoint, err)
	}
	targets := admitter.LatencyTargets{FirstToken: s.FirstTokenTarget, TokenGap: s.TokenGapTarget}
	w := &Worker{
		self:            model.EndpointID(s.Endpoint),
		incarnation:     model.IncarnationID(uuid.NewString()),
		token:           s.Token,
		clock:           f.Clock,
		log:             f.Log,
		follower:        f,
		relayer:         relayer.NewRelayer(s.EndpointURL, s.StallTimeout, f.Clock),
		prober:          prober.NewProber(s.EndpointURL),
		tracer:          t,
		httpClient:      &http.Client{Transport: runner.NewTransport()},
		domain:          model.DomainID(s.Domain),
		idempotencyKeys: deduplicator.NewDeduplicator(model.EndpointID(s.Endpoint), f.Clock),
		keyDone:         map[deduplicator.Key]chan struct{}{},
		admitter:        admitter.NewAdmitter(admitter.NewLimiter(0, targets)),
		guardChanged:    make(chan struct{}),
		chatHolders:     chatHolders,
		waiters:         map[admitter.Ticket]chan *model.Refusal{},
		pendingNotes:    map[model.EndpointID][]*messenger.HolderNote{},
		notesQueued:     make(chan struct{}, 1),
		drained:         make(chan struct{}),
		isDown:          true,
	}
	f.WithView(func(v follower.View) { w.guard = quarantiner.NewGuard(v.Suspects) })
	f.OnSnapshot = w.applySnapshot
	w.prober.OnChange = w.handleStateChange
	w.chain = buildChain(w.execute, w.filterIdempotency, w.filterAvailability, w.filterPlacement, w.filterAdmission, w.filterQuarantine)

	return w, nil
}

// applySnapshot applies a new configuration's limit of running requests and its stopped homes.
func (w *Worker) applySnapshot(s *configurator.Snapshot) {
	e, ok := s.Fleet.Endpoints[w.self]
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitter.Limiter.SetMaxRunning(e.MaxRunning)
	w.idempotencyKeys.RecordStoppedHomes(s.Fleet.Services[e.Service].Homes)
}

// Handler returns the path and handler of the Endpoint RPC service.
func (w *Worker) Handler() (string, http.Handler) {
	return messengerconnect.NewEndpointHandler(w,
		connect.WithInterceptors(w.follower.AuthInterceptor(model.RoleRouter, model.RoleSidecar)),
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithCompression("gzip", nil, nil))
}

const maxRequestBytes = 32 << 20

// Run executes one request on the endpoint and streams its response, or sends a refusal.
func (w *Worker) Run(ctx context.Context, r *messenger.RunRequest, stream *connect.ServerStream[messenger.RunEvent]) error {
	info, _ := connect.CallInfoForHandlerContext(ctx)
	ctx, span := w.tracer.Start(ctx, "sidecar.run", info.RequestHeader())
	span.SetAttribute("endpoint", string(w.self))
	w.beginCall()
	defer w.endCall()
	j := w.newJob(r, stream.Send)
	if j.snapshot != nil && model.Version(r.ConfigurationVersion) > j.snapshot.Version {
		w.follower.ObserveVersion(model.Version(r.ConfigurationVersion))
	}
	w.mergeSuspects(j)
	refusal := w.chain(ctx, j)
	if refusal == nil {
		requestsRunTotal.Inc()
		span.End(nil)

		return nil
	}
	requestsRefusedTotal.Inc()
	span.End(refusal)

	return stream.Send(&messenger.RunEvent{
		AttemptId: r.AttemptId,
		Event:     &messenger.RunEvent_Refusal{Refusal: w.encodeRefusal(refusal, j)},
		Load:      w.currentLoad(),
	})
}

func (w *Worker) encodeRefusal(r *model.Refusal, j *job) *messenger.Refusal {
	version := model.Version(0)
	if j.snapshot != nil {
		version = j.snapshot.Version
	}

	return &messenger.Refusal{
		Code:                 string(r.Code),
		Detail:               r.Detail,
		Outcome:              string(r.Outcome),
		RetryAfterMs:         int64(r.RetryAfter),
		NextEndpoint:         string(r.NextEndpoint),
		Final:                r.IsFinal,
		ConfigurationVersion: uint64(version),
		Suspects:             w.knownCrashes(j),
	}
}

func (w *Worker) currentLoad() *messenger.Load {
	isVMDraining := w.follower.IsVMDraining()
	w.mu.Lock()
	defer w.mu.Unlock()

	return &messenger.Load{
		Running: uint32(w.admitter.Running()),
		Waiting: uint32(w.admitter.Waiting()),
		Limit:   uint32(w.admitter.Limiter.Limit()),
		State:   uint32(w.endpointState(isVMDraining)),
	}
}

// endpointState returns the endpoint's state as reported to other processes. w.mu must be held.
func (w *Worker) endpointState(isVMDraining bool) exchanger.State {
	switch {
	case w.isDown:
		return exchanger.StateDown
	case w.isShuttingDown || isVMDraining:
		return exchanger.StateDraining
	case w.admitter.Waiting() > 0:
		return exchanger.StateFull
	case w.admitter.Limiter.IsCold():
		return exchanger.StateCold
	default:
		return exchanger.StateWarm
	}
}

func (w *Worker) beginCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeCalls++
}

func (w *Worker) endCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeCalls--
	w.signalIfDrained()
}

// signalIfDrained closes drained if the shutdown has begun and no call is active. w.mu must be held.
func (w *Worker) signalIfDrained() {
	if !w.isShuttingDown || w.activeCalls > 0 {
		return
	}
	select {
	case <-w.drained:
	default:
		close(w.drained)
	}
}

// Shutdown refuses new and queued requests and waits until all running requests have finished. It returns an error if the
// context ends first.
func (w *Worker) Shutdown(ctx context.Context) error {
	w.mu.Lock()
	w.isShuttingDown = true
	queued := w.admitter.Drain()
	w.notifyWaiters(queued, model.NewRefusal(model.CodeEndpointDraining, "the sidecar is shutting down"))
	w.signalIfDrained()
	w.mu.Unlock()
	select {
	case <-w.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("worker: endpoint %s: requests still run: %w", w.self, ctx.Err())
	}
}

// IsReady reports whether the endpoint accepts requests.
func (w *Worker) IsReady() bool {
	w.mu.Lock()
	isAvailable := !w.isShuttingDown && !w.isDown
	w.mu.Unlock()

	return isAvailable && w.follower.IsReady()
}

func (w *Worker) groupKey(j *job) placer.GroupKey {
	return placer.GroupKey{
		Service: model.ServiceID(j.request.Service),
		Model:   model.ModelID(j.request.Model),
		Adapter: model.AdapterID(j.request.Adapter),
	}
}

// errRouterDisconnected means that an event could not be sent to the router.
var errRouterDisconnected = errors.New("worker: caller gone")
