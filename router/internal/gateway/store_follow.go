package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// followedTime is how long after the last call of a follower this gateway reads the store for others.
const followedTime = 5 * timekeeper.Second

// errReaderLate means that the gateway that reads the store for this one has not kept it up to date.
var errReaderLate = errors.New("gateway: the reader of the store does not answer in time")

var (
	storeFollows = metrics.NewCounter("gateway_store_follows_total")
	storeWatches = metrics.NewCounter("gateway_store_watches_total")
)

// followChanges waits for changes once, from the store or from the gateway that reads it for this one, and applies them. If the reader
// fails, the store is looked at at once.
func (g *Gateway) followChanges(ctx context.Context, ranges []*storeRange) error {
	if reader := g.storeReader(ranges); reader != "" {
		isDone, err := g.followReader(ctx, reader, ranges)
		if isDone || ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			g.distrustReader(reader, err)
		}
	}
	storeWatches.Inc()

	return g.watchStore(ctx, ranges)
}

// storeReader returns the gateway that reads the store for this one, empty if this one reads it itself. While a replica has something
// due, only the store can tell in time whether it still counts.
func (g *Gateway) storeReader(ranges []*storeRange) string {
	others := g.peers.sameDomainReachable()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range ranges {
		if !r.replica.HasSynced() || r.replica.NextDue() > 0 {
			return ""
		}
	}

	return g.sourcer.Source(others, g.clock.Now())
}

func (g *Gateway) distrustReader(reader string, err error) {
	g.mu.Lock()
	g.sourcer.Distrust(reader, g.clock.Now())
	g.mu.Unlock()
	g.log.Write(logger.EventReaderDistrusted, logger.String("gateway", reader), logger.Err(err))
}

// followReader waits for changes from another gateway and applies them. It returns false if the store has to be looked at, with an error
// if that is so because the reader does not keep this gateway up to date.
func (g *Gateway) followReader(ctx context.Context, reader string, ranges []*storeRange) (isDone bool, err error) {
	request := &messenger.FollowStoreRequest{
		Operator: g.positionOf(ranges[0].replica), Endpoints: g.positionOf(ranges[1].replica),
		WaitMs: int64(g.sourcer.Timing.FollowWait), MaxSilenceMs: int64(g.sourcer.Timing.MaxSilence),
	}
	sentAt, suspendedBefore := g.clock.Now(), g.clock.Suspended()
	callCtx, cancel := context.WithTimeout(ctx, g.sourcer.Timing.FollowTimeout.Duration())
	defer cancel()
	storeFollows.Inc()
	response, err := g.peers.clientFor(reader).FollowStore(callCtx, request)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errReaderLate, err)
	}
	elapsed, suspended := g.clock.Now()-sentAt, g.clock.Suspended()-suspendedBefore
	silence := timekeeper.Millis(response.SilenceMs)
	if !g.sourcer.IsTrusted(silence, elapsed, suspended) {
		return false, fmt.Errorf("%w: after %d ms, suspended for %d ms, the store silent for %d ms", errReaderLate, elapsed, suspended, silence)
	}
	if response.LookAtStore {
		return false, nil
	}
	knownAt := sentAt - silence
	g.applyFollowed(ranges[0], response.Operator, knownAt)
	g.applyFollowed(ranges[1], response.Endpoints, knownAt)
	g.recordStoreResult(nil)
	g.recordStoreKnown(knownAt)
	g.raiseStorePosition(response.Endpoints)

	return true, nil
}

// applyFollowed applies the changes of a range that the store had told a reader by a time.
func (g *Gateway) applyFollowed(r *storeRange, c *messenger.RangeCopy, knownAt timekeeper.Millis) {
	at, items := decodeCopy(c)
	g.updateReplica(r.prefix, r.replica, func(now timekeeper.Millis) bool {
		if at.Era != r.replica.Synced().Era {
			return false
		}
		r.replica.RecordRelayedContact(knownAt, now)
		g.recordChanges(r.replica, items, knownAt)

		return r.replica.Apply(items, at, knownAt, now)
	})
}

// positionOf returns how far a replica has followed its range.
func (g *Gateway) positionOf(r *replicator.Replica) *messenger.RangeState {
	g.mu.Lock()
	defer g.mu.Unlock()

	return &messenger.RangeState{AsOf: r.Synced().Revision, Era: uint64(r.Synced().Era), Synced: r.HasSynced()}
}

// raiseStorePosition records how far the store has come by the word of a reader in the same era.
func (g *Gateway) raiseStorePosition(c *messenger.RangeCopy) {
	at, _ := decodeCopy(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.Era == g.storePosition.Era && at.Compare(g.storePosition) > 0 {
		g.storePosition = at
	}
}

// recordStoreKnown records that both ranges are known as the store held them at a time.
func (g *Gateway) recordStoreKnown(at timekeeper.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at >= g.storeKnown.at {
		g.storeKnown = listTime{at: at, suspended: g.clock.Suspended()}
	}
}

// hasStoreKnown reports whether both ranges have ever been known.
func (g *Gateway) hasStoreKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.storeKnown.at > 0
}

// isFollowed reports whether other gateways follow this one in place of the store. g.mu must be held.
func (g *Gateway) isFollowed() bool {
	return g.lastFollowedAt > 0 && g.clock.Now()-g.lastFollowedAt < followedTime
}
