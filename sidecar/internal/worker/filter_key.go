package worker

import (
	"context"

	"github.com/sourcegraph/conc/iter"

	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const releaseTimeout = timekeeper.Second

// filterKey lets each idempotency key through at most once and answers re-sends from its record.
func (w *Worker) filterKey(ctx context.Context, j *job, next handler) *model.Refusal {
	if !j.keyed() {
		return next(ctx, j)
	}
	if j.snapshot == nil {
		return model.NewRefusal(model.CodeStaleView, "no configuration yet").WithOutcome(model.OutcomeUnknown)
	}
	policy := deduplicator.NewPolicy(j.service)
	for {
		w.mu.Lock()
		d := w.keys.Begin(j.key, bodyDigest(j.request), j.service.Homes, policy)
		if d.Action == deduplicator.ActionRequestRelease || d.Action == deduplicator.ActionRun {
			w.keyDone[j.key] = make(chan struct{})
		}
		done := w.keyDone[j.key]
		w.mu.Unlock()
		if d.Action == deduplicator.ActionWait {
			if w.awaitKey(ctx, j, done) {
				continue
			}

			return model.NewRefusal(model.CodeKeyInProgress, "the key is still running").
				WithOutcome(model.OutcomeUnknown).WithRetryAfter(timekeeper.Second).AsFinal()
		}

		return w.followDecision(ctx, j, d, next)
	}
}

func (w *Worker) awaitKey(ctx context.Context, j *job, done chan struct{}) bool {
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

func (w *Worker) followDecision(ctx context.Context, j *job, d deduplicator.Decision, next handler) *model.Refusal {
	if d.Action == deduplicator.ActionRequestRelease {
		releases := w.askEarlierHomes(ctx, j, d.EarlierHomes)
		w.mu.Lock()
		d = w.keys.Resolve(j.key, releases)
		w.mu.Unlock()
		if d.Action != deduplicator.ActionRun {
			defer w.finishKey(j.key)
		}
	}
	switch d.Action {
	case deduplicator.ActionRun:
		return w.runKey(ctx, j, next)
	case deduplicator.ActionReplay:
		return w.sendAnswer(j, d.Answer, true)
	default:
		return d.Refusal
	}
}

// runKey runs a key to its end even when its caller leaves, so that the caller's next send finds the answer.
func (w *Worker) runKey(ctx context.Context, j *job, next handler) *model.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (j.deadline - w.clock.Now()).Duration())
	defer cancel()
	refusal := next(ctx, j)
	w.mu.Lock()
	switch {
	case refusal == nil:
		w.keys.FinishRan(j.key, *j.answer)
	case refusal.Outcome == model.OutcomeNotRun:
		w.keys.FinishNotRun(j.key)
	default:
		w.keys.FinishUnknown(j.key)
	}
	w.mu.Unlock()
	w.finishKey(j.key)
	if refusal != nil {
		return refusal
	}

	return w.sendAnswer(j, *j.answer, false)
}

func (w *Worker) finishKey(k deduplicator.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if done, ok := w.keyDone[k]; ok {
		close(done)
		delete(w.keyDone, k)
	}
}

func (w *Worker) askEarlierHomes(ctx context.Context, j *job, homes []model.EndpointID) []deduplicator.ReleaseResult {
	newest, _ := deduplicator.NewestGeneration(j.service.Homes)

	return iter.Map(homes, func(id *model.EndpointID) deduplicator.ReleaseResult {
		return w.askEarlierHome(ctx, j, *id, newest.Number)
	})
}

func (w *Worker) askEarlierHome(ctx context.Context, j *job, id model.EndpointID, generation uint64) deduplicator.ReleaseResult {
	unreachable := deduplicator.ReleaseResult{State: deduplicator.ReleaseUnknown}
	e, declared := j.snapshot.Fleet.Endpoints[id]
	if !declared {
		return unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	response, err := w.client(e.Address).Release(ctx, &messenger.ReleaseRequest{
		Account:              string(j.key.Account),
		Service:              string(j.key.Service),
		Key:                  string(j.key.Key),
		Generation:           generation,
		ConfigurationVersion: uint64(j.snapshot.Version),
	})
	if err != nil {
		return unreachable
	}
	release := deduplicator.ReleaseResult{
		State:      deduplicator.ReleaseState(response.State),
		BodyDigest: model.Digest(response.BodyDigest),
		Reachable:  true,
	}
	if a := response.Answer; a != nil {
		release.Answer = deduplicator.Answer{
			Status: int(a.Status), ContentType: a.ContentType, Body: a.Body, Truncated: a.Truncated,
		}
	}

	return release
}

func (w *Worker) client(address string) messengerconnect.EndpointClient {
	return messengerconnect.NewEndpointClient(w.peers, "http://"+address, follower.WithToken(w.token))
}

// Release bars a key from running here and returns what is known of it.
func (w *Worker) Release(_ context.Context, r *messenger.ReleaseRequest) (*messenger.ReleaseResponse, error) {
	w.follower.ObserveVersion(model.Version(r.ConfigurationVersion))
	k := deduplicator.Key{
		Account: model.AccountID(r.Account),
		Service: model.ServiceID(r.Service),
		Key:     model.IdempotencyKey(r.Key),
	}
	var service model.Service
	if s := w.follower.Snapshot(); s != nil {
		service = s.Fleet.Services[k.Service]
	}
	w.mu.Lock()
	release := w.keys.Release(k, r.Generation, deduplicator.NewPolicy(service))
	w.mu.Unlock()
	response := &messenger.ReleaseResponse{State: string(release.State), BodyDigest: uint64(release.BodyDigest)}
	if release.State == deduplicator.ReleaseRan {
		response.Answer = &messenger.StoredAnswer{
			Status:      int32(release.Answer.Status),
			ContentType: release.Answer.ContentType,
			Body:        release.Answer.Body,
			Truncated:   release.Answer.Truncated,
		}
	}

	return response, nil
}
