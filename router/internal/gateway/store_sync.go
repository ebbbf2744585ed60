package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
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
	// minWatchWait is the shortest wait of a watch call.
	minWatchWait = 100 * timekeeper.Millis(1)
	// batchDelay lets changes in quick succession accumulate until one watch call returns them together.
	batchDelay = 250 * timekeeper.Millis(1)
	// maxRereadPause is the mean pause between the full reads of a store that loses its history again after each full read.
	maxRereadPause = 1200 * timekeeper.Millis(1)
	// rereadCalls is the number of calls with which a gateway reads both ranges, of two pages at most, again.
	rereadCalls = 4
	// rereadShare is the fraction of the store's calls per second that all gateways together use to read their ranges again.
	rereadShare = 0.5
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
// that a single watch call covers both ranges, because calls to the store are billed. If the store does not have the history
// that the watch needs, the ranges are read again. Failures are retried with backoff.
func (g *Gateway) followStore(ctx context.Context) {
	ranges := g.storeRanges()
	for _, r := range ranges {
		r.needsRead = true
	}
	backoff := initialBackoff
	rereadPause := g.rereadSpread()
	for ctx.Err() == nil {
		err := g.syncRanges(ctx, ranges)
		if err == nil {
			backoff, rereadPause = initialBackoff, g.rereadSpread()

			continue
		}
		if isHistoryLost(err) {
			g.recordStoreResult(nil)
			timekeeper.Sleep(ctx, rereadPause/2+rand.N(rereadPause))
			rereadPause = max(initialBackoff, min(2*rereadPause, maxRereadPause))

			continue
		}
		if ctx.Err() == nil {
			g.recordStoreResult(err)
		}
		timekeeper.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, g.storeBackoff())
	}
}

// storeRanges returns the ranges of the store that the gateway follows.
func (g *Gateway) storeRanges() []*storeRange {
	return []*storeRange{
		{prefix: platform.RangeOperator, replica: g.operatorReplica},
		{prefix: platform.RangeEndpoints, replica: g.endpointReplica},
	}
}

// oldestSynced returns the position up to which all ranges have been followed.
func (g *Gateway) oldestSynced(ranges []*storeRange) replicator.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	oldest := ranges[0].replica.Synced()
	for _, r := range ranges {
		if synced := r.replica.Synced(); synced.Compare(oldest) < 0 {
			oldest = synced
		}
	}

	return oldest
}

// isHistoryLost reports whether the store has answered that changes alone cannot bring the replicas up to date, or with more changes
// than one answer may hold. A range is read in pages.
func isHistoryLost(err error) bool {
	return errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrEraChanged) || errors.Is(err, platform.ErrTooLarge)
}

// rereadSpread returns the time over which all gateways read their ranges again, so that they use at most rereadShare of the
// calls per second that the store serves.
func (g *Gateway) rereadSpread() timekeeper.Millis {
	return 1 + g.storeCallTime(rereadCalls)
}

// storeCallTime returns the time over which each of the known gateways may make a number of calls to the store, so that all together use
// rereadShare of the calls per second that it serves.
func (g *Gateway) storeCallTime(calls int) timekeeper.Millis {
	gateways := 1
	g.forwarder.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) { gateways = len(b.Membership.Members()) })
	perSecond := rereadShare * float64(g.settings.StoreReadsPerSecond)

	return timekeeper.Millis(float64(gateways*calls) / perSecond * float64(timekeeper.Second))
}

// recordStoreResult records whether the store can be followed and logs when that changes.
func (g *Gateway) recordStoreResult(err error) {
	g.mu.Lock()
	wasUnreachable := g.isStoreUnreachable
	g.isStoreUnreachable = err != nil
	if err != nil {
		g.firstState.storeFailures++
	} else {
		g.firstState.storeFailures = 0
	}
	g.mu.Unlock()
	if !wasUnreachable && err != nil {
		g.log.Write(logger.EventStoreUnreachable, logger.Err(err))
	}
	if wasUnreachable && err == nil {
		g.log.Write(logger.EventStoreReachable)
	}
}

// syncRanges reads the ranges that need it in full, then waits for changes once. If the store does not have the history that
// the watch needs, all ranges are marked for a full read.
func (g *Gateway) syncRanges(ctx context.Context, ranges []*storeRange) error {
	begunAt := g.clock.Now()
	for _, r := range ranges {
		if !r.needsRead {
			continue
		}
		if err := g.readRange(ctx, r); err != nil {
			return err
		}
		r.needsRead = false
	}
	if !g.hasStoreKnown() {
		g.recordStoreKnown(begunAt)
	}
	err := g.followChanges(ctx, ranges)
	if isHistoryLost(err) {
		for _, r := range ranges {
			r.needsRead = true
		}
	}

	return err
}

func (g *Gateway) readRange(ctx context.Context, r *storeRange) error {
	items, at, err := g.store.ReadRange(ctx, r.prefix)
	if err != nil {
		return err
	}
	if known := g.syncedEra(r.replica); at.Era < known {
		return fmt.Errorf("%w: read of %s is of era %d, known is %d", platform.ErrStore, r.prefix, at.Era, known)
	}
	g.recordStorePosition(at)
	isFirst := false
	g.updateReplica(r.prefix, r.replica, func(now timekeeper.Millis) bool {
		isFirst = r.replica.LastContact() == 0
		r.replica.RecordContact(now)
		g.recordWholeList(r.replica, at.Era, now)

		return r.replica.Replace(items, at, now, now)
	})
	if isFirst && r.replica == g.endpointReplica {
		go g.readHistory(ctx, at)
	}

	return nil
}

func (g *Gateway) syncedEra(r *replicator.Replica) replicator.Era {
	g.mu.Lock()
	defer g.mu.Unlock()

	return r.Synced().Era
}

// watchStore waits for changes after the newest position that all replicas have reached, and applies them.
func (g *Gateway) watchStore(ctx context.Context, ranges []*storeRange) error {
	after := g.oldestSynced(ranges)
	wait := g.watchWait(ranges)
	events, at, err := g.store.Watch(ctx, after, wait)
	if err != nil {
		return err
	}
	g.recordStoreResult(nil)
	g.recordStorePosition(at)
	g.applyEvents(ranges, events, at)
	g.recordStoreKnown(g.clock.Now())
	if len(events) > 0 {
		timekeeper.Sleep(ctx, batchDelay)
	}

	return nil
}

// watchWait returns how long a watch call waits for changes.
func (g *Gateway) watchWait(ranges []*storeRange) timekeeper.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := timekeeper.Millis(watchWaitFraction * float64(g.settings.RecoveryTime))
	if g.isFollowed() {
		wait = min(wait, g.sourcer.Timing.ReadWait)
	}
	for _, r := range ranges {
		if next := r.replica.NextDue(); next > 0 {
			wait = min(wait, max(next-g.clock.Now(), minWatchWait))
		}
	}

	return wait
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
func (g *Gateway) applyEvents(ranges []*storeRange, events []replicator.Item, at replicator.Position) {
	for _, r := range ranges {
		inRange := slices.DeleteFunc(slices.Clone(events), func(i replicator.Item) bool { return !strings.HasPrefix(i.Key, r.prefix) })
		g.updateReplica(r.prefix, r.replica, func(now timekeeper.Millis) bool {
			r.replica.RecordContact(now)
			g.recordChanges(r.replica, inRange, now)

			return r.replica.Apply(inRange, at, now, now)
		})
	}
}

// updateReplica runs update on a replica under the lock and rebuilds the view if update returns true. The name of the range
// or peer goes into the log entry of a replica that was not synced before.
func (g *Gateway) updateReplica(name string, r *replicator.Replica, update func(timekeeper.Millis) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasSynced := r.HasSynced()
	before, content := r.Synced().Era, r.ContentRevision()
	now := g.clock.Now()
	isUpdated := update(now)
	if r.Synced().Era != before || r.ContentRevision() != content {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	isDue := r.ApplyDue(now)
	if !isUpdated && !isDue {
		return
	}
	if !wasSynced {
		g.log.Write(logger.EventRangeReplaced, logger.String("range", name),
			logger.Int("era", r.Synced().Era), logger.Int("as-of", r.Synced().Revision))
	}
	g.rebuildView()
}
