package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

const (
	initialBackoff = 100 * timekeeper.Millis(1)
	maxBackoff     = 600 * timekeeper.Millis(1)
	// watchWaitFraction is the fraction of the recovery time that one watch call waits: a watch that receives nothing must
	// be noticed, and the range copied from another gateway, within the recovery time.
	watchWaitFraction = 0.6
	// batchDelay lets changes in quick succession accumulate until one watch call returns them together.
	batchDelay = 250 * timekeeper.Millis(1)
)

var storeRestores = metrics.NewCounter("gateway_store_restores_total")

// storeRange is a key range of the store and the replica that follows it.
type storeRange struct {
	prefix  string
	replica *replicator.Replica
	// needsRead is true while the range must be read in full because changes alone cannot bring the replica up to date.
	needsRead bool
}

// followStore keeps the replicas up to date with the store until the context ends. Each range is read in full once; after
// that a single watch call covers both ranges, because calls to the store are billed. Failures are retried with backoff.
func (g *Gateway) followStore(ctx context.Context) {
	ranges := []*storeRange{
		{prefix: platform.RangeOperator, replica: g.operatorReplica, needsRead: true},
		{prefix: platform.RangeEndpoints, replica: g.endpointReplica, needsRead: true},
	}
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := g.syncRanges(ctx, ranges)
		if err == nil {
			backoff = initialBackoff
			g.recordStoreResult(nil)

			continue
		}
		if ctx.Err() == nil {
			g.recordStoreResult(err)
		}
		timekeeper.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordStoreResult records whether the store can be followed and logs when that changes.
func (g *Gateway) recordStoreResult(err error) {
	g.mu.Lock()
	wasUnreachable := g.isStoreUnreachable
	g.isStoreUnreachable = err != nil
	g.mu.Unlock()
	if !wasUnreachable && err != nil {
		g.log.Write(logger.EventStoreUnreachable, logger.Err(err))
	}
	if wasUnreachable && err == nil {
		g.log.Write(logger.EventStoreReachable)
	}
}

// syncRanges reads the ranges that need it in full, then waits for changes once. If the store has compacted the history
// that the watch needs, all ranges are marked for a full read.
func (g *Gateway) syncRanges(ctx context.Context, ranges []*storeRange) error {
	for _, r := range ranges {
		if !r.needsRead {
			continue
		}
		if err := g.readRange(ctx, r); err != nil {
			return err
		}
		r.needsRead = false
	}
	err := g.watchStore(ctx, ranges)
	if errors.Is(err, platform.ErrCompacted) {
		for _, r := range ranges {
			r.needsRead = true
		}

		return nil
	}

	return err
}

func (g *Gateway) readRange(ctx context.Context, r *storeRange) error {
	items, asOf, err := g.store.ReadRange(ctx, r.prefix)
	if err != nil {
		return err
	}
	g.recordStorePosition(asOf)
	g.updateReplica(r.prefix, r.replica, func(now timekeeper.Millis) bool {
		r.replica.RecordContact(now)

		return r.replica.Replace(items, asOf.Revision, now)
	})

	return nil
}

// watchStore waits for changes after the newest revision that all replicas have reached, and applies them.
func (g *Gateway) watchStore(ctx context.Context, ranges []*storeRange) error {
	g.mu.Lock()
	after := ranges[0].replica.SyncedRevision()
	for _, r := range ranges {
		after = min(after, r.replica.SyncedRevision())
	}
	g.mu.Unlock()
	events, asOf, err := g.store.Watch(ctx, replicator.Position{Revision: after}, timekeeper.Millis(watchWaitFraction*float64(g.settings.RecoveryTime)))
	if err != nil {
		return err
	}
	g.recordStorePosition(asOf)
	g.applyEvents(ranges, events, asOf.Revision)
	if len(events) > 0 {
		timekeeper.Sleep(ctx, batchDelay)
	}

	return nil
}

// recordStorePosition records where the store was when it answered, and logs when it has come back from a copy.
func (g *Gateway) recordStorePosition(p replicator.Position) {
	g.mu.Lock()
	previous := g.storePosition
	g.storePosition = p
	g.mu.Unlock()
	if previous.Era == 0 || previous.Era == p.Era {
		return
	}
	storeRestores.Inc()
	g.log.Write(logger.EventStoreRestored,
		logger.Int("era", p.Era), logger.Int("revision", p.Revision),
		logger.Int("previous-era", previous.Era), logger.Int("previous-revision", previous.Revision))
}

// applyEvents applies to each replica the events in its range.
func (g *Gateway) applyEvents(ranges []*storeRange, events []replicator.Item, asOf uint64) {
	for _, r := range ranges {
		inRange := slices.DeleteFunc(slices.Clone(events), func(i replicator.Item) bool { return !strings.HasPrefix(i.Key, r.prefix) })
		g.updateReplica(r.prefix, r.replica, func(now timekeeper.Millis) bool {
			r.replica.RecordContact(now)

			return r.replica.Apply(inRange, asOf, now)
		})
	}
}

// updateReplica runs update on a replica under the lock and rebuilds the view if update returns true. The name of the range
// or peer goes into the log entry of a replica that was not synced before.
func (g *Gateway) updateReplica(name string, r *replicator.Replica, update func(timekeeper.Millis) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasSynced := r.HasSynced()
	if !update(g.clock.Now()) {
		return
	}
	if !wasSynced {
		g.log.Write(logger.EventRangeReplaced, logger.String("range", name), logger.Int("as-of", r.SyncedRevision()))
	}
	g.rebuildView()
}
