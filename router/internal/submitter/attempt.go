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
	"cardamompulley/fleet/timekeeper"
)

// sendAttempt sends a request to the sidecar of its target. It returns the started response, or the refusal and its cause.
func (s *Submitter) sendAttempt(j *job) (*Response, *model.Refusal, error) {
	now := s.follower.Clock.Now()
	s.recordAttempt(j.target.id)
	run := j.request.RunRequest
	run.AttemptId = uuid.NewString()
	run.DeadlineMs = int64(max(j.request.Deadline-now, 1))
	run.ConfigurationVersion = uint64(j.target.configurationVersion)
	run.Placed = j.target.bypassesHome
	ctx, cancel := context.WithTimeout(j.ctx, (j.request.Deadline - now).Duration())
	ctx, info := connect.NewClientContext(ctx)
	s.tracer.Inject(ctx, info.RequestHeader())

	stream, err := s.clientFor(j.target.address).Run(ctx, run)
	if err == nil && stream.Receive() {
		return s.openResponse(j, stream, cancel)
	}
	if err == nil {
		err = stream.Err()
		_ = stream.Close()
	}
	cancel()
	if j.ctx.Err() != nil {
		return nil, shutdownRefusal(), err
	}

	return nil, s.handleConnectionError(j, err), err
}

// shutdownRefusal returns the refusal of a request that the end of the shutdown has cancelled, whatever its sidecar has done with it.
func shutdownRefusal() *model.Refusal {
	refusal := model.NewRefusal(model.CodeNotReady, "this router is stopping").WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second)
	refusal.IsFinal = true

	return refusal
}

// openResponse reads the first event of a stream. If it is a refusal, what it reports about configuration versions and
// crashes is stored.
func (s *Submitter) openResponse(j *job, stream *connect.ServerStreamForClient[messenger.RunEvent], cancel func()) (*Response, *model.Refusal, error) {
	s.recordSuccess(j.target.id)
	first := stream.Msg()
	s.observeLoad(j.target.id, first.Load)
	response := newResponse(s, j.request, j.target, stream, cancel)
	refusal := response.handleFirstEvent(first)
	if refusal == nil {
		return response, nil, nil
	}
	response.Close()
	s.follower.ObserveVersion(model.Version(first.GetRefusal().GetConfigurationVersion()))
	s.mergeSuspects(first.GetRefusal().GetSuspects())

	return nil, refusal, refusal
}

func (s *Submitter) mergeSuspects(encoded []byte) {
	s.follower.WithView(func(v follower.View) { v.Suspects.MergeEncoded(encoded, s.follower.Clock.Now()) })
}

// handleConnectionError opens the circuit breaker of the target and returns the refusal. The outcome is unknown unless the
// error proves that the request was not sent. It is always unknown for a request with an idempotency key, because only the
// home can confirm that a key did not run.
func (s *Submitter) handleConnectionError(j *job, err error) *model.Refusal {
	s.recordFailure(j.target.id)
	refusal := model.NewRefusal(model.CodeEndpointUnreachable, "the sidecar of "+string(j.target.id)+" cannot be reached").
		WithRetryAfter(timekeeper.Second)
	if j.hasIdempotencyKey() || !isProvablyUnsent(err) {
		refusal.Outcome = model.OutcomeUnknown
	}
	if s.follower.Clock.Now() >= j.request.Deadline {
		refusal.Code = model.CodeDeadlineTooShort
	}

	return refusal
}

// isProvablyUnsent reports whether an error proves that the endpoint received nothing of the request: the dial failed, or
// the sidecar rejected the call with an RPC error before handling it. A connection that broke later proves nothing.
func isProvablyUnsent(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	code := connect.CodeOf(err)

	return connect.IsWireError(err) && (code == connect.CodeUnavailable || code == connect.CodePermissionDenied)
}

func (s *Submitter) observeLoad(id model.EndpointID, l *messenger.Load) {
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
