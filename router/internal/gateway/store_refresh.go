package gateway

import (
	"context"
	"sync"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/timekeeper"
)

const (
	// refreshTimeout bounds a look at the store for which a caller waits.
	refreshTimeout = 250 * timekeeper.Millis(1)
	// shortestWait is the wait of a watch call for changes that are there already.
	shortestWait = timekeeper.Millis(1)
)

// refreshState lets callers that wait for the store's newest list share a look at it.
type refreshState struct {
	mu        sync.Mutex
	startedAt timekeeper.Millis
	succeeded bool
}

// refreshEndpoints brings both ranges up to date with the store by a call that begins after it was called. It returns false if the
// store does not answer in time.
func (g *Gateway) refreshEndpoints(ctx context.Context) bool {
	calledAt := g.clock.Now()
	g.refresh.mu.Lock()
	defer g.refresh.mu.Unlock()
	if g.refresh.startedAt > calledAt {
		return g.refresh.succeeded
	}
	g.refresh.startedAt = g.clock.Now()
	g.refresh.succeeded = g.lookAtStore(ctx)

	return g.refresh.succeeded
}

// lookAtStore applies the changes that the store has now.
func (g *Gateway) lookAtStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Duration())
	defer cancel()
	ranges := g.storeRanges()
	events, at, err := g.store.Watch(ctx, g.oldestSynced(ranges), shortestWait)
	if err != nil {
		g.log.Write(logger.EventStoreUnreachable, logger.Err(err))

		return false
	}
	g.applyEvents(ranges, events, at)

	return true
}
