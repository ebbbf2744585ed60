package worker

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/sidecar/internal/prober"
)

const loadUpdateInterval = 250 * timekeeper.Millis(1)

// RunBackgroundTasks probes the endpoint, updates its load and sends holder notes until the context ends.
func (w *Worker) RunBackgroundTasks(ctx context.Context) {
	var g conc.WaitGroup
	g.Go(func() { w.prober.Run(ctx) })
	g.Go(func() { w.runLoadUpdater(ctx) })
	g.Go(func() { w.runNoteSender(ctx) })
	g.Wait()
}

// runLoadUpdater periodically updates the endpoint's load in the view, refuses the queued requests that would miss their
// deadlines and admits others. It logs an event when the VM starts or stops draining.
func (w *Worker) runLoadUpdater(ctx context.Context) {
	ticker := time.NewTicker(loadUpdateInterval.Duration())
	defer ticker.Stop()
	wasDraining := false
	for {
		w.withCurrentLoad(func(follower.View) {})
		w.admitWaiting()
		if isDraining := w.follower.IsVMDraining(); isDraining != wasDraining {
			wasDraining = isDraining
			w.log.Write(logger.EventEndpointDraining, logger.String("endpoint", w.self))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handleStateChange applies a state change found by the prober: crash records, availability and cold start.
func (w *Worker) handleStateChange(c prober.StateChange) {
	if c.HasCrashed {
		w.recordCrash()
	}
	w.mu.Lock()
	if c.WentDown {
		w.isDown = true
	}
	if c.CameUp {
		w.isDown = false
	}
	if c.BecameCold || c.WentDown || c.HasCrashed {
		w.admitter.Limiter.EnterColdStart()
	}
	w.mu.Unlock()
	w.logStateChange(c)
}

func (w *Worker) logStateChange(c prober.StateChange) {
	switch {
	case c.WentDown:
		w.log.Write(logger.EventEndpointDown, logger.String("endpoint", w.self))
	case c.CameUp:
		w.log.Write(logger.EventEndpointUp, logger.String("endpoint", w.self))
	case c.BecameCold:
		w.log.Write(logger.EventEndpointCold, logger.String("endpoint", w.self))
	}
}

func (w *Worker) enterColdStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitter.Limiter.EnterColdStart()
}
