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

// job is the state of one request while it passes through the chain.
type job struct {
	request     *messenger.RunRequest
	sendEvent   func(*messenger.RunEvent) error
	snapshot    *configurator.Snapshot
	service     model.Service
	fingerprint model.Fingerprint
	// deadline is a time of the worker's clock.
	deadline timekeeper.Millis
	key      deduplicator.Key
	// storedResponse is the complete response to a request with an idempotency key.
	storedResponse *deduplicator.StoredResponse
	sample         admitter.Sample
	// reachedEndpoint is true if the endpoint may have received the request.
	reachedEndpoint bool
}

// handler serves a request. It returns nil if the response was sent or stored, and the refusal otherwise.
type handler func(ctx context.Context, j *job) *model.Refusal

// filter handles a request before next, or refuses it without calling next.
type filter func(ctx context.Context, j *job, next handler) *model.Refusal

// buildChain returns a handler that runs the filters in the given order and then execute.
func buildChain(execute handler, filters ...filter) handler {
	chain := execute
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], chain
		chain = func(ctx context.Context, j *job) *model.Refusal { return f(ctx, j, next) }
	}

	return chain
}

// defaultDeadline applies to requests without a deadline.
const defaultDeadline = 10 * timekeeper.Minute

func (w *Worker) newJob(r *messenger.RunRequest, sendEvent func(*messenger.RunEvent) error) *job {
	j := &job{
		request:     r,
		sendEvent:   sendEvent,
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

func (j *job) hasIdempotencyKey() bool {
	return j.request.IdempotencyKey != ""
}

// send sends an event to the router. It returns errRouterDisconnected if that fails.
func (j *job) send(e *messenger.RunEvent) error {
	e.AttemptId = j.request.AttemptId
	if err := j.sendEvent(e); err != nil {
		return errRouterDisconnected
	}

	return nil
}

// sendAll sends events until the connection to the router fails.
func (j *job) sendAll(events []*messenger.RunEvent) {
	for _, e := range events {
		if j.send(e) != nil {
			return
		}
	}
}
