package worker

import (
	"context"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// job is one request on its way through the chain.
type job struct {
	request     *messenger.RunRequest
	send        func(*messenger.RunEvent) error
	snapshot    *configurator.Snapshot
	service     model.Service
	fingerprint model.Fingerprint
	deadline    timekeeper.Millis
	key         deduplicator.Key
	answer      *deduplicator.Answer
	sample      admitter.Sample
	touched     bool
}

type handler func(ctx context.Context, j *job) *model.Refusal

type filter func(ctx context.Context, j *job, next handler) *model.Refusal

// link builds a chain whose first filter runs first.
func link(last handler, filters ...filter) handler {
	chain := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], chain
		chain = func(ctx context.Context, j *job) *model.Refusal { return f(ctx, j, next) }
	}

	return chain
}

const defaultDeadline = 10 * timekeeper.Minute

func (w *Worker) newJob(r *messenger.RunRequest, send func(*messenger.RunEvent) error) *job {
	j := &job{
		request:     r,
		send:        send,
		snapshot:    w.follower.Snapshot(),
		fingerprint: model.Fingerprint(r.Fingerprint),
		deadline:    w.clock.Now() + timekeeper.Millis(r.DeadlineMs),
		key: deduplicator.Key{
			Account: model.AccountID(r.Account),
			Service: model.ServiceID(r.Service),
			Key:     model.IdempotencyKey(r.IdempotencyKey),
		},
	}
	if r.DeadlineMs == 0 {
		j.deadline = w.clock.Now() + defaultDeadline
	}
	if j.snapshot != nil {
		j.service = j.snapshot.Fleet.Services[model.ServiceID(r.Service)]
	}

	return j
}

func (j *job) keyed() bool {
	return j.request.IdempotencyKey != ""
}

func (j *job) emit(e *messenger.RunEvent) error {
	e.AttemptId = j.request.AttemptId
	if err := j.send(e); err != nil {
		return errCallerGone
	}

	return nil
}

// emitAll sends events until the caller is gone.
func (j *job) emitAll(events []*messenger.RunEvent) {
	for _, e := range events {
		if j.emit(e) != nil {
			return
		}
	}
}
