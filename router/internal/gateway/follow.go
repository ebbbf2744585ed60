package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

const (
	firstBackoff = 100 * timekeeper.Millis(1)
	maxBackoff   = 600 * timekeeper.Millis(1)
	// watchShare is the part of the span of contact that a watch waits: one that hears nothing must be found, and its
	// range taken from another gateway, before the span is over.
	watchShare = 0.6
	// newsPause gathers changes that come one after the other, so that one call brings them.
	newsPause = 250 * timekeeper.Millis(1)
)

// followed is a range of the store that is kept up to date.
type followed struct {
	prefix  string
	replica *replicator.Replica
	// whole is true while the range has to be read, since changes alone do not complete it.
	whole bool
}

// follow keeps the ranges up to date from the store: each is read once, and both are watched by one call, since every
// call is paid for.
func (g *Gateway) follow(ctx context.Context) {
	ranges := []*followed{
		{prefix: platform.RangeOperator, replica: g.operator, whole: true},
		{prefix: platform.RangeEndpoints, replica: g.endpoints, whole: true},
	}
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := g.step(ctx, ranges)
		if err == nil {
			backoff = firstBackoff
			g.noteStore(nil)

			continue
		}
		if ctx.Err() == nil {
			g.noteStore(err)
		}
		timekeeper.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// noteStore notes whether the ranges can be followed at the store.
func (g *Gateway) noteStore(err error) {
	g.mu.Lock()
	lost := g.lost
	g.lost = err != nil
	g.mu.Unlock()
	if !lost && err != nil {
		g.log.Write(logger.EventStoreUnreachable, logger.Err(err))
	}
	if lost && err == nil {
		g.log.Write(logger.EventStoreReachable)
	}
}

// step reads the ranges that are not complete, or else waits for changes.
func (g *Gateway) step(ctx context.Context, ranges []*followed) error {
	for _, f := range ranges {
		if !f.whole {
			continue
		}
		if err := g.read(ctx, f); err != nil {
			return err
		}
		f.whole = false
	}
	err := g.watch(ctx, ranges)
	if errors.Is(err, platform.ErrCompacted) {
		for _, f := range ranges {
			f.whole = true
		}

		return nil
	}

	return err
}

func (g *Gateway) read(ctx context.Context, f *followed) error {
	items, asOf, err := g.store.ReadRange(ctx, f.prefix)
	if err != nil {
		return err
	}
	g.take(f.prefix, f.replica, func(now timekeeper.Millis) bool {
		f.replica.RecordContact(now)

		return f.replica.Replace(items, asOf, now)
	})

	return nil
}

// watch waits for changes after the revision that all ranges have reached.
func (g *Gateway) watch(ctx context.Context, ranges []*followed) error {
	g.mu.Lock()
	after := ranges[0].replica.SyncedRevision()
	for _, f := range ranges {
		after = min(after, f.replica.SyncedRevision())
	}
	g.mu.Unlock()
	events, asOf, err := g.store.Watch(ctx, after, timekeeper.Millis(watchShare*float64(g.settings.Contact)))
	if err != nil {
		return err
	}
	g.takeEvents(ranges, events, asOf)
	if len(events) > 0 {
		timekeeper.Sleep(ctx, newsPause)
	}

	return nil
}

func (g *Gateway) takeEvents(ranges []*followed, events []replicator.Item, asOf uint64) {
	for _, f := range ranges {
		own := slices.DeleteFunc(slices.Clone(events), func(i replicator.Item) bool { return !strings.HasPrefix(i.Key, f.prefix) })
		g.take(f.prefix, f.replica, func(now timekeeper.Millis) bool {
			f.replica.RecordContact(now)

			return f.replica.Apply(own, asOf, now)
		})
	}
}

// take changes a replica and brings what changed into force.
func (g *Gateway) take(prefix string, r *replicator.Replica, change func(timekeeper.Millis) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	synced := r.HasSynced()
	if !change(g.clock.Now()) {
		return
	}
	if !synced {
		g.log.Write(logger.EventRangeReplaced, logger.String("range", prefix), logger.Int("as-of", r.SyncedRevision()))
	}
	g.rebuild()
}
