package worker

import (
	"context"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/model"
)

// filterAvailability refuses requests while the endpoint accepts no new ones.
func (w *Worker) filterAvailability(ctx context.Context, j *job, next handler) *model.Refusal {
	if refusal := w.checkAvailability(j); refusal != nil {
		return refusal
	}

	return next(ctx, j)
}

// checkAvailability returns the refusal of a request if the endpoint accepts no new ones, or nil. It also updates the job's
// snapshot.
func (w *Worker) checkAvailability(j *job) *model.Refusal {
	isReady := w.follower.IsReady()
	isVMDraining := w.follower.IsVMDraining()
	w.mu.Lock()
	gate := admitter.Gate{
		Self: w.self, IsReady: isReady, IsVMDraining: isVMDraining, IsShuttingDown: w.isShuttingDown, IsDown: w.isDown,
	}
	w.mu.Unlock()
	j.snapshot = w.follower.Snapshot()

	return gate.Check(j.snapshot, model.Version(j.request.ConfigurationVersion))
}
