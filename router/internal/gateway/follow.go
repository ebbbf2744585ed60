package gateway

import (
	"context"
	"errors"
	"math/rand/v2"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

const (
	firstBackoff = 100 * timekeeper.Millis(1)
	maxBackoff   = 600 * timekeeper.Millis(1)
	// watchShare is the part of the span of contact that a watch waits: one that hears nothing must be found, and its
	// range read anew, before the span is over.
	watchShare = 0.6
)

// follow keeps one range up to date from the store: read once, then watched.
func (g *Gateway) follow(ctx context.Context, prefix string, r *replicator.Replica) {
	backoff := firstBackoff
	lost := false
	whole := true
	for ctx.Err() == nil {
		err := g.step(ctx, prefix, r, whole)
		whole = errors.Is(err, platform.ErrCompacted) || (whole && err != nil)
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			backoff = firstBackoff
			if lost {
				g.log.Write(logger.EventStoreRegained, logger.String("range", prefix))
			}
			lost = false
			g.setLost(r, false)

			continue
		}
		if !lost && ctx.Err() == nil {
			g.log.Write(logger.EventStoreLost, logger.String("range", prefix), logger.Err(err))
		}
		lost = true
		g.setLost(r, true)
		timekeeper.Pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// setLost notes whether a range can be followed at the store.
func (g *Gateway) setLost(r *replicator.Replica, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost[r] = lost
}

// step makes one call to the store and takes what it brings.
func (g *Gateway) step(ctx context.Context, prefix string, r *replicator.Replica, whole bool) error {
	if whole {
		items, asOf, err := g.store.ReadRange(ctx, prefix)
		if err != nil {
			return err
		}
		g.take(prefix, r, func(now timekeeper.Millis) bool {
			r.Reached(now)

			return r.Replace(items, asOf, now)
		})

		return nil
	}
	g.mu.Lock()
	after := r.AsOf()
	g.mu.Unlock()
	events, asOf, err := g.store.Watch(ctx, prefix, after, timekeeper.Millis(watchShare*float64(g.settings.Contact)))
	if err != nil {
		return err
	}
	g.take(prefix, r, func(now timekeeper.Millis) bool {
		r.Reached(now)

		return r.Apply(events, asOf, now)
	})

	return nil
}

// take changes a replica and brings what changed into force.
func (g *Gateway) take(prefix string, r *replicator.Replica, change func(timekeeper.Millis) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	synced := r.Synced()
	if !change(g.clock.Now()) {
		return
	}
	if !synced {
		g.log.Write(logger.EventRangeReplaced, logger.String("range", prefix), logger.Int("as-of", r.AsOf()))
	}
	g.rebuild()
}
