package submitter

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

func (s *Submitter) try(j *job) (*Answer, *model.Refusal, error) {
	now := s.follower.Clock.Now()
	s.startBreaker(j.target.id)
	run := j.request.Run
	run.AttemptId = uuid.NewString()
	run.DeadlineMs = int64(max(j.request.Deadline-now, 1))
	run.ConfigurationVersion = uint64(j.target.version)
	run.Placed = j.target.placed
	ctx, cancel := context.WithTimeout(j.ctx, (j.request.Deadline - now).Duration())
	ctx, info := connect.NewClientContext(ctx)
	s.tracer.Inject(ctx, info.RequestHeader())

	stream, err := s.client(j.target.address).Run(ctx, run)
	if err == nil && stream.Receive() {
		return s.started(j, stream, cancel)
	}
	if err == nil {
		err = stream.Err()
		_ = stream.Close()
	}
	cancel()

	return nil, s.unreachable(j, err), err
}

func (s *Submitter) started(j *job, stream *connect.ServerStreamForClient[messenger.RunEvent], cancel func()) (*Answer, *model.Refusal, error) {
	s.closeBreaker(j.target.id)
	first := stream.Msg()
	s.observe(j.target.id, first.Load)
	answer := newAnswer(s, j.request, j.target, stream, cancel)
	refusal := answer.start(first)
	if refusal == nil {
		return answer, nil, nil
	}
	answer.Close()
	s.follower.ObserveVersion(model.Version(first.GetRefusal().GetConfigurationVersion()))
	s.learnCrashes(model.Fingerprint(j.request.Run.Fingerprint), first.GetRefusal().GetCrashes())

	return nil, refusal, refusal
}

func (s *Submitter) learnCrashes(f model.Fingerprint, crashes uint32) {
	if crashes == 0 {
		return
	}
	s.follower.WithView(func(v follower.View) {
		m := quarantiner.CrashRecord{Fingerprint: f, Crashes: int(crashes), ExpiresIn: markSpan}
		v.Quarantine.Merge(m, s.follower.Clock.Now())
	})
}

// unreachable explains a broken connection: a refused dial proves that nothing was sent, anything else does not.
func (s *Submitter) unreachable(j *job, err error) *model.Refusal {
	s.failBreaker(j.target.id)
	refusal := model.NewRefusal(model.CodeEndpointUnreachable, "the sidecar of "+string(j.target.id)+" cannot be reached").
		WithRetryAfter(timekeeper.Second)
	if j.keyed() || !provablyUnsent(err) {
		refusal.Outcome = model.OutcomeUnknown
	}
	if s.follower.Clock.Now() >= j.request.Deadline {
		refusal.Code = model.CodeDeadlineTooShort
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

func (s *Submitter) observe(id model.EndpointID, l *messenger.Load) {
	if l == nil {
		return
	}
	s.follower.WithView(func(v follower.View) {
		v.LoadTable.Observe(v.Snapshot.IndexOf(id), exchanger.Load{
			Running:    int(l.Running),
			State:      exchanger.State(l.State),
			ObservedAt: s.follower.Clock.Now(),
		})
	})
}
