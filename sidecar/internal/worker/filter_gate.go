package worker

import (
	"context"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/model"
)

// filterGate turns new work away while the endpoint takes none.
func (w *Worker) filterGate(ctx context.Context, j *job, next handler) *model.Refusal {
	if refusal := w.checkGate(j); refusal != nil {
		return refusal
	}

	return next(ctx, j)
}

func (w *Worker) checkGate(j *job) *model.Refusal {
	ready := w.follower.Ready()
	leaving := w.follower.IsVMLeaving()
	w.mu.Lock()
	g := admitter.Gate{
		Self: w.self, IsReady: ready, IsVMLeaving: leaving, IsShuttingDown: w.stopping, IsDown: w.down,
	}
	w.mu.Unlock()
	j.snapshot = w.follower.Snapshot()

	return g.Check(j.snapshot, model.Version(j.request.ConfigurationVersion))
}
