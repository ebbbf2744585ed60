package worker

import (
	"context"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/iter"

	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const releaseTimeout = timekeeper.Second

// filterIdempotency runs the request of each idempotency key at most once. Further requests with the key wait for the first
// to end and receive its stored response.
func (w *Worker) filterIdempotency(ctx context.Context, j *job, next handler) *model.Refusal {
	if !j.hasIdempotencyKey() {
		return next(ctx, j)
	}
	if j.snapshot == nil {
		return model.NewRefusal(model.CodeStaleView, "no configuration yet").WithOutcome(model.OutcomeUnknown)
	}
	policy := deduplicator.NewPolicy(j.service)
	for {
		w.mu.Lock()
		decision := w.idempotencyKeys.Begin(j.key, requestDigest(j.request), j.service.Homes, policy)
		if decision.Action == deduplicator.ActionRequestRelease || decision.Action == deduplicator.ActionRun {
			w.keyDone[j.key] = make(chan struct{})
		}
		done := w.keyDone[j.key]
		w.mu.Unlock()
		if decision.Action == deduplicator.ActionWait {
			if w.waitForKey(ctx, j, done) {
				continue
			}

			return model.NewRefusal(model.CodeKeyInProgress, "the key is still running").
				WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second).AsFinal()
		}

		return w.applyDecision(ctx, j, decision, next)
	}
}

// waitForKey waits until done is closed. It returns false if the deadline of the request or the context ends first.
func (w *Worker) waitForKey(ctx context.Context, j *job, done chan struct{}) bool {
	timer := newTimer(j.deadline - w.clock.Now())
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// applyDecision does what the deduplicator has decided, after asking the earlier homes of the key if it requires that.
func (w *Worker) applyDecision(ctx context.Context, j *job, decision deduplicator.Decision, next handler) *model.Refusal {
	if decision.Action == deduplicator.ActionRequestRelease {
		releases := w.requestReleases(ctx, j, decision.EarlierHomes)
		w.mu.Lock()
		decision = w.idempotencyKeys.Resolve(j.key, releases)
		w.mu.Unlock()
		if decision.Action != deduplicator.ActionRun {
			defer w.signalKeyDone(j.key)
		}
	}
	switch decision.Action {
	case deduplicator.ActionRun:
		return w.runAndRecord(ctx, j, next)
	case deduplicator.ActionReplay:
		return w.sendStoredResponse(j, decision.Response, true)
	default:
		return decision.Refusal
	}
}

// runAndRecord runs the request of a key, records the result and sends the response. It continues if the caller disconnects,
// so that a retry of the caller receives the stored response.
func (w *Worker) runAndRecord(ctx context.Context, j *job, next handler) *model.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (j.deadline - w.clock.Now()).Duration())
	defer cancel()
	refusal := next(ctx, j)
	w.mu.Lock()
	switch {
	case refusal == nil:
		w.idempotencyKeys.FinishRan(j.key, *j.storedResponse)
	case refusal.Outcome == model.OutcomeNotRun:
		w.idempotencyKeys.FinishNotRun(j.key)
	default:
		w.idempotencyKeys.FinishUnknown(j.key)
	}
	w.mu.Unlock()
	w.signalKeyDone(j.key)
	if refusal != nil {
		return refusal
	}

	return w.sendStoredResponse(j, *j.storedResponse, false)
}

// signalKeyDone wakes the requests that wait for a key.
func (w *Worker) signalKeyDone(k deduplicator.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if done, ok := w.keyDone[k]; ok {
		close(done)
		delete(w.keyDone, k)
	}
}

// requestReleases asks the earlier homes of a key in parallel to release it.
func (w *Worker) requestReleases(ctx context.Context, j *job, homes []model.EndpointID) []deduplicator.ReleaseResult {
	newest, _ := deduplicator.NewestGeneration(j.service.Homes)

	return iter.Map(homes, func(id *model.EndpointID) deduplicator.ReleaseResult {
		return w.requestRelease(ctx, j, *id, newest.Number)
	})
}

// requestRelease asks one earlier home of a key to release it. The result is ReleaseUnknown if the home is not declared or
// does not respond.
func (w *Worker) requestRelease(ctx context.Context, j *job, id model.EndpointID, generation uint64) deduplicator.ReleaseResult {
	unreachable := deduplicator.ReleaseResult{State: deduplicator.ReleaseUnknown}
	endpoint, declared := j.snapshot.Fleet.Endpoints[id]
	if !declared {
		return unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	response, err := w.newPeerClient(endpoint.Address).Release(ctx, &messenger.ReleaseRequest{
		Account:              string(j.key.Account),
		Service:              string(j.key.Service),
		Key:                  string(j.key.Key),
		Generation:           generation,
		ConfigurationVersion: uint64(j.snapshot.Version),
	})
	if err != nil {
		return unreachable
	}
	result := deduplicator.ReleaseResult{
		State:       deduplicator.ReleaseState(response.State),
		BodyDigest:  model.Digest(response.BodyDigest),
		IsReachable: true,
	}
	if a := response.Answer; a != nil {
		result.Response = deduplicator.StoredResponse{
			Status: int(a.Status), ContentType: a.ContentType, Body: a.Body, IsTruncated: a.Truncated,
		}
	}

	return result
}

func (w *Worker) newPeerClient(address string) messengerconnect.EndpointClient {
	return messengerconnect.NewEndpointClient(w.httpClient, "http://"+address, follower.WithToken(w.token), connect.WithReadMaxBytes(maxRequestBytes))
}

// Release answers the release request of the home of a newer generation. A key that has not run here will not run here,
// unless a still newer generation makes this endpoint its home again.
func (w *Worker) Release(_ context.Context, r *messenger.ReleaseRequest) (*messenger.ReleaseResponse, error) {
	w.follower.ObserveVersion(model.Version(r.ConfigurationVersion))
	key := deduplicator.Key{
		Account: model.AccountID(r.Account),
		Service: model.ServiceID(r.Service),
		Key:     model.IdempotencyKey(r.Key),
	}
	var service model.Service
	if s := w.follower.Snapshot(); s != nil {
		service = s.Fleet.Services[key.Service]
	}
	w.mu.Lock()
	result := w.idempotencyKeys.Release(key, r.Generation, deduplicator.NewPolicy(service))
	w.mu.Unlock()
	response := &messenger.ReleaseResponse{State: string(result.State), BodyDigest: uint64(result.BodyDigest)}
	if result.State == deduplicator.ReleaseRan {
		response.Answer = &messenger.StoredAnswer{
			Status:      int32(result.Response.Status),
			ContentType: result.Response.ContentType,
			Body:        result.Response.Body,
			Truncated:   result.Response.IsTruncated,
		}
	}

	return response, nil
}
