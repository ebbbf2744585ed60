package dispatcher

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// attempt is the state of one request over its attempts.
type attempt struct {
	request    *Request
	used       retrier.Request
	excluded   map[model.EndpointID]bool
	forced     model.EndpointID
	mayHaveRun bool
	last       *model.Refusal
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
