package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/quarantiner"
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

// attempt is the state of one request over its attempts.
type attempt struct {
	request    *Request
	used       retrier.Request
	excluded   map[model.EndpointID]bool
	forced     model.EndpointID
	mayHaveRun bool
	last       *model.Refusal
}

// target is where an attempt goes.
type target struct {
	id      model.EndpointID
	address string
	index   int
	placed  bool
	version model.Version
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

// finish makes the outcome speak of the whole request and not only of its last attempt.
func (a *attempt) finish(r *model.Refusal) *model.Refusal {
	if a.used.Keyed {
		return r
	}
	if a.mayHaveRun && r.Outcome == model.OutcomeNotRun {
		r.Outcome = model.OutcomeUnknown
	}

	return r
}

func (d *Dispatcher) choose(a *attempt) (target, *model.Refusal) {
	var t target
	var refusal *model.Refusal
	d.follower.View(func(v follower.View) {
		if v.Snapshot == nil {
			refusal = model.NewRefusal(model.CodeNotReady, "no configuration yet").
				WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)

			return
		}
		if refusal = d.refuseCondemned(v, a); refusal != nil {
			return
		}
		if a.used.Keyed {
			t, refusal = d.chooseHome(v, a)
		} else {
			t, refusal = d.chooseMember(v, a)
		}
		if refusal == nil {
			v.Table.Add(t.index, 1)
		}
	})

	return t, refusal
}

func (d *Dispatcher) refuseCondemned(v follower.View, a *attempt) *model.Refusal {
	f := model.Fingerprint(a.request.Run.Fingerprint)
	now := d.follower.Clock.Now()
	condemned, span := v.Register.Condemned(f, now)
	if !condemned {
		a.request.Run.Crashes = uint32(v.Register.Crashes(f, now))

		return nil
	}

	return model.NewRefusal(model.CodeCondemned, "the request has crashed two endpoints; change it before sending it again").
		WithOutcome(model.OutcomeUnknown).WithRetryAfter(span)
}

// chooseHome returns the one endpoint that may run a key; only the home can say that a key did not run.
func (d *Dispatcher) chooseHome(v follower.View, a *attempt) (target, *model.Refusal) {
	r := a.request.Run
	k := deduplicator.Key{
		Account: model.AccountID(r.Account),
		Service: model.ServiceID(r.Service),
		Key:     model.IdempotencyKey(r.IdempotencyKey),
	}
	newest, ok := deduplicator.Newest(v.Snapshot.Fleet.Services[k.Service].Homes)
	if !ok {
		return target{}, model.NewRefusal(model.CodeKeyUnprovable, "the service declares no homes for idempotency keys").
			WithOutcome(model.OutcomeUnknown)
	}

	return d.target(v.Snapshot, deduplicator.Home(newest, k), true), nil
}

func (d *Dispatcher) chooseMember(v follower.View, a *attempt) (target, *model.Refusal) {
	r := a.request.Run
	g := v.Groups.Get(placer.GroupKey{
		Service: model.ServiceID(r.Service),
		Model:   model.ModelID(r.Model),
		Adapter: model.AdapterID(r.Adapter),
	})
	p := placer.NewPlacer(d.domain, v.Table)
	if blocked := d.blocked(v.Snapshot); len(blocked) > 0 {
		p.Blocked = func(index int) bool { return blocked[index] }
	}
	q := placer.Request{Chat: model.ChatKey(r.Chat), FirstTurn: r.FirstTurn, Hint: g.Find(a.request.Hint)}
	for id := range a.excluded {
		q.Excluded.Add(g.Find(id))
	}
	if m := g.Find(a.forced); m != placer.NoMember && p.Usable(g, m, &q.Excluded) {
		return d.target(v.Snapshot, a.forced, true), nil
	}
	choice := p.Choose(g, &q)
	if choice.Member == placer.NoMember {
		return target{}, model.NewRefusal(model.CodeNoEndpoint, "no endpoint can take the request now").
			WithRetryAfter(timekeeper.Second)
	}

	return d.target(v.Snapshot, g.Members[choice.Member].ID, choice.Placed), nil
}

func (d *Dispatcher) target(s *configurator.Snapshot, id model.EndpointID, placed bool) target {
	return target{
		id:      id,
		address: s.Fleet.Endpoints[id].Address,
		index:   s.IndexOf(id),
		placed:  placed,
		version: s.Version,
	}
}

// blocked returns the indexes of the endpoints that this router holds for unreachable, nil when there are none.
func (d *Dispatcher) blocked(s *configurator.Snapshot) map[int]bool {
	now := d.follower.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var blocked map[int]bool
	for id, b := range d.breakers {
		if !b.Blocked(now) {
			continue
		}
		if blocked == nil {
			blocked = map[int]bool{}
		}
		blocked[s.IndexOf(id)] = true
	}

	return blocked
}

// startBreaker notes an attempt at an endpoint.
func (d *Dispatcher) startBreaker(id model.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, failed := d.breakers[id]; failed {
		b.Start(d.follower.Clock.Now())
	}
}

// closeBreaker forgets the failures of an endpoint that has answered.
func (d *Dispatcher) closeBreaker(id model.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, failed := d.breakers[id]; failed {
		b.Succeed()
	}
}

// failBreaker blocks an endpoint that could not be reached.
func (d *Dispatcher) failBreaker(id model.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, failed := d.breakers[id]
	if !failed {
		b = &retrier.Breaker{}
		d.breakers[id] = b
	}
	b.Fail(d.follower.Clock.Now())
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

func (d *Dispatcher) try(ctx context.Context, a *attempt, t target) (*Answer, *model.Refusal) {
	now := d.follower.Clock.Now()
	d.startBreaker(t.id)
	run := a.request.Run
	run.AttemptId = uuid.NewString()
	run.DeadlineMs = int64(max(a.request.Deadline-now, 1))
	run.ConfigurationVersion = uint64(t.version)
	run.Placed = t.placed
	ctx, cancel := context.WithTimeout(ctx, (a.request.Deadline - now).Duration())
	ctx, info := connect.NewClientContext(ctx)
	d.tracer.Inject(ctx, info.RequestHeader())

	stream, err := d.client(t.address).Run(ctx, run)
	if err == nil && stream.Receive() {
		return d.started(a, t, stream, cancel)
	}
	if err == nil {
		err = stream.Err()
		_ = stream.Close()
	}
	cancel()

	return nil, d.unreachable(a, t, err)
}

func (d *Dispatcher) started(a *attempt, t target, stream *connect.ServerStreamForClient[messenger.RunEvent], cancel func()) (*Answer, *model.Refusal) {
	d.closeBreaker(t.id)
	first := stream.Msg()
	d.observe(t.id, first.Load)
	answer := newAnswer(d, a.request, t, stream, cancel)
	refusal := answer.start(first)
	if refusal == nil {
		a.used.Sent = true

		return answer, nil
	}
	answer.Close()
	d.follower.Heard(model.Version(first.GetRefusal().GetConfigurationVersion()))
	d.learnCrashes(model.Fingerprint(a.request.Run.Fingerprint), first.GetRefusal().GetCrashes())

	return nil, refusal
}

func (d *Dispatcher) learnCrashes(f model.Fingerprint, crashes uint32) {
	if crashes == 0 {
		return
	}
	d.follower.View(func(v follower.View) {
		m := quarantiner.Mark{Fingerprint: f, Crashes: int(crashes), ExpiresIn: markSpan}
		v.Register.Learn(m, d.follower.Clock.Now())
	})
}

// unreachable explains a broken connection: a refused dial proves that nothing was sent, anything else does not.
func (d *Dispatcher) unreachable(a *attempt, t target, err error) *model.Refusal {
	now := d.follower.Clock.Now()
	d.failBreaker(t.id)
	refusal := model.NewRefusal(model.CodeUnreachable, "the sidecar of "+string(t.id)+" cannot be reached").
		WithRetryAfter(timekeeper.Second)
	if a.used.Keyed || !provablyUnsent(err) {
		refusal.Outcome = model.OutcomeUnknown
	}
	if now >= a.request.Deadline {
		refusal.Code = model.CodeDeadline
	}

	return refusal
}

// provablyUnsent tells a refused dial, or a sidecar that admitted nobody, from a connection that broke later.
func provablyUnsent(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return true
	}
	code := connect.CodeOf(err)

	return connect.IsWireError(err) && (code == connect.CodeUnavailable || code == connect.CodePermissionDenied)
}

// goOn decides whether another attempt follows and prepares it.
func (d *Dispatcher) goOn(ctx context.Context, a *attempt, t target, refusal *model.Refusal) bool {
	a.last = refusal
	if refusal.Outcome != model.OutcomeNotRun {
		a.mayHaveRun = true
	}
	d.mu.Lock()
	action := retrier.Decide(&a.used, refusal, d.budget, d.follower.Clock.Now())
	d.mu.Unlock()
	switch action {
	case retrier.ActionRetry:
		retries.Inc()
	case retrier.ActionRedirect:
		redirects.Inc()
	case retrier.ActionNoBudget:
		d.follower.Log.Write(logger.EventRetryBudgetEmpty, logger.String("endpoint", t.id))

		return false
	default:
		return false
	}
	a.forced = refusal.Next
	if refusal.Code == model.CodeStale || a.used.Keyed {
		return timekeeper.Pause(ctx, stalePause)
	}
	a.excluded[t.id] = true

	return true
}

func (d *Dispatcher) observe(id model.EndpointID, l *messenger.Load) {
	if l == nil {
		return
	}
	d.follower.View(func(v follower.View) {
		v.Table.Observe(v.Snapshot.IndexOf(id), exchanger.Load{
			Busy:  int(l.Running),
			State: exchanger.State(l.State),
			At:    d.follower.Clock.Now(),
		})
	})
}
