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

const reportInterval = 250 * timekeeper.Millis(1)

// Control runs the controllers of the endpoint's state until the context ends.
func (w *Worker) Control(ctx context.Context) {
	var g conc.WaitGroup
	g.Go(func() { w.prober.Run(ctx) })
	g.Go(func() { w.controlReports(ctx) })
	g.Go(func() { w.controlNotes(ctx) })
	g.Wait()
}

// controlReports keeps the own load in the view and the queue free of what comes too late.
func (w *Worker) controlReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval.Duration())
	defer ticker.Stop()
	leaving := false
	for {
		w.viewExact(func(follower.View) {})
		w.startWaiting()
		if now := w.follower.IsVMLeaving(); now != leaving {
			leaving = now
			w.log.Write(logger.EventEndpointDraining, logger.String("endpoint", w.self))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) onChange(c prober.Change) {
	if c.Crashed {
		w.crash()
	}
	w.mu.Lock()
	if c.Down {
		w.down = true
	}
	if c.Up {
		w.down = false
	}
	if c.Cold || c.Down || c.Crashed {
		w.admitter.Limiter.EnterColdStart()
	}
	w.mu.Unlock()
	w.logChange(c)
}

func (w *Worker) logChange(c prober.Change) {
	switch {
	case c.Down:
		w.log.Write(logger.EventEndpointDown, logger.String("endpoint", w.self))
	case c.Up:
		w.log.Write(logger.EventEndpointUp, logger.String("endpoint", w.self))
	case c.Cold:
		w.log.Write(logger.EventEndpointCold, logger.String("endpoint", w.self))
	}
}

func (w *Worker) turnCold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitter.Limiter.EnterColdStart()
}
