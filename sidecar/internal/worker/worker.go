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
	ranTotal     = metrics.NewCounter("sidecar_requests_run_total")
	refusedTotal = metrics.NewCounter("sidecar_requests_refused_total")
	crossedTotal = metrics.NewCounter("sidecar_crossed_answers_total")
)

// Worker is the one door to an endpoint; the follower's lock is always taken before mu.
type Worker struct {
	self     model.EndpointID
	boot     model.IncarnationID
	token    string
	clock    timekeeper.Clock
	log      logger.Logger
	follower *follower.Follower
	relayer  *relayer.Relayer
	prober   *prober.Prober
	tracer   *tracer.Tracer
	peers    *http.Client
	chain    handler
	domain   model.DomainID

	mu       sync.Mutex
	keys     *deduplicator.Deduplicator
	keyDone  map[deduplicator.Key]chan struct{}
	admitter *admitter.Admitter
	guard    *quarantiner.Guard
	guardUp  chan struct{}
	chats    *holder.Directory
	waiting  map[admitter.Ticket]chan *model.Refusal
	ticket   admitter.Ticket
	notes    map[model.EndpointID][]*messenger.HolderNote
	noted    chan struct{}
	stopping bool
	down     bool
	idle     chan struct{}
	active   int
}

// NewWorker returns the worker of a new incarnation, or an error for settings that cannot be met.
func NewWorker(s settings.Settings, f *follower.Follower, t *tracer.Tracer) (*Worker, error) {
	chats, err := holder.NewDirectory(s.DirectoryChats)
	if err != nil {
		return nil, fmt.Errorf("worker: endpoint %s: %w", s.Endpoint, err)
	}
	targets := admitter.LatencyTargets{FirstToken: s.FirstToken, TokenGap: s.TokenGap}
	w := &Worker{
		self:     model.EndpointID(s.Endpoint),
		boot:     model.IncarnationID(uuid.NewString()),
		token:    s.Token,
		clock:    f.Clock,
		log:      f.Log,
		follower: f,
		relayer:  relayer.NewRelayer(s.EndpointURL, s.Stall, f.Clock),
		prober:   prober.NewProber(s.EndpointURL),
		tracer:   t,
		peers:    &http.Client{Transport: runner.NewTransport()},
		domain:   model.DomainID(s.Domain),
		keys:     deduplicator.NewDeduplicator(model.EndpointID(s.Endpoint), f.Clock),
		keyDone:  map[deduplicator.Key]chan struct{}{},
		admitter: admitter.NewAdmitter(admitter.NewLimiter(0, targets)),
		guardUp:  make(chan struct{}),
		chats:    chats,
		waiting:  map[admitter.Ticket]chan *model.Refusal{},
		notes:    map[model.EndpointID][]*messenger.HolderNote{},
		noted:    make(chan struct{}, 1),
		idle:     make(chan struct{}),
		down:     true,
	}
	f.WithView(func(v follower.View) { w.guard = quarantiner.NewGuard(v.Quarantine) })
	f.OnSnapshot = w.onSnapshot
	w.prober.OnChange = w.onChange
	w.chain = link(w.execute, w.filterKey, w.filterGate, w.filterPlace, w.filterAdmit, w.filterGuard)

	return w, nil
}

func (w *Worker) onSnapshot(s *configurator.Snapshot) {
	e, ok := s.Fleet.Endpoints[w.self]
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitter.Limiter.SetMaxRunning(e.MaxRunning)
	w.keys.RecordStoppedHomes(s.Fleet.Services[e.Service].Homes)
}

// Handler returns the path and handler of the Endpoint service.
func (w *Worker) Handler() (string, http.Handler) {
	return messengerconnect.NewEndpointHandler(w,
		connect.WithInterceptors(w.follower.AuthInterceptor(model.RoleRouter, model.RoleSidecar)),
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithCompression("gzip", nil, nil))
}

const maxRequestBytes = 32 << 20

// Run executes one request on the endpoint and streams its answer.
func (w *Worker) Run(ctx context.Context, r *messenger.RunRequest, stream *connect.ServerStream[messenger.RunEvent]) error {
	info, _ := connect.CallInfoForHandlerContext(ctx)
	ctx, span := w.tracer.Start(ctx, "sidecar.run", info.RequestHeader())
	span.SetAttribute("endpoint", string(w.self))
	w.enter()
	defer w.leave()
	j := w.newJob(r, stream.Send)
	if j.snapshot != nil && model.Version(r.ConfigurationVersion) > j.snapshot.Version {
		w.follower.ObserveVersion(model.Version(r.ConfigurationVersion))
	}
	w.learnCrashes(j)
	refusal := w.chain(ctx, j)
	if refusal == nil {
		ranTotal.Inc()
		span.End(nil)

		return nil
	}
	refusedTotal.Inc()
	span.End(refusal)

	return stream.Send(&messenger.RunEvent{
		AttemptId: r.AttemptId,
		Event:     &messenger.RunEvent_Refusal{Refusal: w.toWire(refusal, j)},
		Load:      w.load(),
	})
}

func (w *Worker) toWire(r *model.Refusal, j *job) *messenger.Refusal {
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
		Final:                r.Final,
		ConfigurationVersion: uint64(version),
		Crashes:              uint32(w.crashes(j)),
	}
}

func (w *Worker) crashes(j *job) int {
	crashes := 0
	w.follower.WithView(func(v follower.View) { crashes = v.Quarantine.Crashes(j.fingerprint, w.clock.Now()) })

	return crashes
}

func (w *Worker) load() *messenger.Load {
	leaving := w.follower.IsVMLeaving()
	w.mu.Lock()
	defer w.mu.Unlock()

	return &messenger.Load{
		Running: uint32(w.admitter.Running()),
		Waiting: uint32(w.admitter.Waiting()),
		Limit:   uint32(w.admitter.Limiter.Limit()),
		State:   uint32(w.state(leaving)),
	}
}

// state names what others should know of the endpoint; the caller holds the lock.
func (w *Worker) state(leaving bool) exchanger.State {
	switch {
	case w.down:
		return exchanger.StateDown
	case w.stopping || leaving:
		return exchanger.StateLeaving
	case w.admitter.Waiting() > 0:
		return exchanger.StateFull
	case w.admitter.Limiter.IsCold():
		return exchanger.StateCold
	default:
		return exchanger.StateWarm
	}
}

func (w *Worker) enter() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active++
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active--
	w.signalIdle()
}

func (w *Worker) signalIdle() {
	if !w.stopping || w.active > 0 {
		return
	}
	select {
	case <-w.idle:
	default:
		close(w.idle)
	}
}

// Stop refuses new work and returns when every running request has finished or the context ends.
func (w *Worker) Stop(ctx context.Context) error {
	w.mu.Lock()
	w.stopping = true
	drained := w.admitter.Drain()
	w.wake(drained, model.NewRefusal(model.CodeEndpointDraining, "the sidecar is shutting down"))
	w.signalIdle()
	w.mu.Unlock()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("worker: endpoint %s: requests still run: %w", w.self, ctx.Err())
	}
}

// Ready tells whether the endpoint takes work.
func (w *Worker) Ready() bool {
	w.mu.Lock()
	open := !w.stopping && !w.down
	w.mu.Unlock()

	return open && w.follower.Ready()
}

func (w *Worker) groupKey(j *job) placer.GroupKey {
	return placer.GroupKey{
		Service: model.ServiceID(j.request.Service),
		Model:   model.ModelID(j.request.Model),
		Adapter: model.AdapterID(j.request.Adapter),
	}
}

var errCallerGone = errors.New("worker: caller gone")
