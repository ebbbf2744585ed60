package gateway

import (
	"context"
	"errors"
	"strings"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/resumer"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform"
)

const (
	// firstEra is the era of a store that has never come back from a copy.
	firstEra = replicator.Era(1)
	// firstRevision is the revision from which on a whole history begins.
	firstRevision = 1
	// historyMargin is taken off the time for which the store keeps its changes.
	historyMargin = timekeeper.Second
	// historyWait is the wait of a watch call that reads old changes, which are there already.
	historyWait = timekeeper.Millis(1)
	// historyTries and historyPause are how often the history is read until it is, and the pause in between.
	historyTries = 5
	historyPause = timekeeper.Second
)

// storeSilence returns the time since the store last answered this gateway or another one.
func (g *Gateway) storeSilence() timekeeper.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endpointsKnownAt == 0 {
		return timekeeper.Hour
	}

	return g.clock.Now() - g.endpointsKnownAt
}

// recordWholeList records that a replica is being replaced by the whole range as it was at a time. If that is long after the last
// known state of the endpoint list, endpoints may have come and gone in between. g.mu must be held.
func (g *Gateway) recordWholeList(r *replicator.Replica, era replicator.Era, at timekeeper.Millis) {
	if r != g.endpointReplica {
		return
	}
	isContinuous := r.HasSynced() && era == r.Synced().Era && at-g.endpointsKnownAt <= g.settings.DrainTime
	g.endpointsKnownAt = max(g.endpointsKnownAt, at)
	if !isContinuous {
		g.forwarder.UpdateVersions(func(h *resumer.VersionHistory) { h.Restart(at) })
	}
}

// recordChanges records the software versions in changes of the endpoint list, up to a time. g.mu must be held.
func (g *Gateway) recordChanges(r *replicator.Replica, changes []replicator.Item, at timekeeper.Millis) {
	if r != g.endpointReplica {
		return
	}
	g.endpointsKnownAt = max(g.endpointsKnownAt, at)
	endpoints := decodeChanges(changes)
	if len(endpoints) == 0 {
		return
	}
	g.forwarder.UpdateVersions(func(h *resumer.VersionHistory) {
		for _, e := range endpoints {
			h.RecordPast(e.Service, e.Software, g.clock.Now())
		}
	})
}

// decodeChanges returns the readable endpoints that were written in changes.
func decodeChanges(changes []replicator.Item) []cataloguer.Endpoint {
	var endpoints []cataloguer.Endpoint
	for _, item := range changes {
		if item.IsDeleted || !strings.HasPrefix(item.Key, platform.RangeEndpoints) {
			continue
		}
		if e, err := platform.DecodeEndpoint(endpointID(item.Key), item.Value); err == nil {
			endpoints = append(endpoints, e)
		}
	}

	return endpoints
}

// doubtOrigins makes the origins of recent streams uncertain if their endpoint has started again with another software version:
// which of the two began them is not known. g.mu must be held.
func (g *Gateway) doubtOrigins(e, previous *cataloguer.Endpoint) {
	if e.Software == previous.Software {
		return
	}
	since := g.endpointsKnownAt - outageHeartbeats*g.settings.HeartbeatInterval
	g.forwarder.DoubtOrigins(e.ID, since)
}

// readHistory learns from the changes that the store still holds which software versions have served before this process; items is
// the endpoint list as it was at a position.
func (g *Gateway) readHistory(ctx context.Context, items []replicator.Item, at replicator.Position) {
	for range historyTries {
		readAt := g.clock.Now()
		oldest, changes, err := g.oldestHistory(ctx, at)
		if err == nil {
			g.recordHistory(items, changes, oldest, readAt)

			return
		}
		g.log.Write(logger.EventHistoryUnread, logger.Err(err))
		if errors.Is(err, platform.ErrEraChanged) || !timekeeper.Sleep(ctx, historyPause) {
			return
		}
	}
}

// oldestHistory returns the position after which the store holds all changes up to a position, as far back as it does, and these
// changes.
func (g *Gateway) oldestHistory(ctx context.Context, at replicator.Position) (replicator.Position, []replicator.Item, error) {
	changes, err := g.readChanges(ctx, replicator.Position{Era: at.Era, Revision: firstRevision})
	if err == nil {
		return replicator.Position{Era: at.Era, Revision: firstRevision}, changes, nil
	}
	gone, oldest := uint64(firstRevision), at
	for gone+1 < oldest.Revision && errors.Is(err, platform.ErrCompacted) {
		middle := replicator.Position{Era: at.Era, Revision: gone + (oldest.Revision-gone)/2}
		var found []replicator.Item
		found, err = g.readChanges(ctx, middle)
		switch {
		case err == nil:
			oldest, changes = middle, found
			err = platform.ErrCompacted
		case errors.Is(err, platform.ErrCompacted):
			gone = middle.Revision
		}
	}
	if !errors.Is(err, platform.ErrCompacted) {
		return replicator.Position{}, nil, err
	}

	return oldest, changes, nil
}

// readChanges returns the changes after a position that the store holds.
func (g *Gateway) readChanges(ctx context.Context, after replicator.Position) ([]replicator.Item, error) {
	changes, _, err := g.store.Watch(ctx, after, historyWait)

	return changes, err
}

// recordHistory records the software versions in old changes, and since when none is missing.
func (g *Gateway) recordHistory(items, changes []replicator.Item, oldest replicator.Position, readAt timekeeper.Millis) {
	known := map[string]bool{}
	for _, item := range items {
		known[item.Key] = true
	}
	isUnknown := false
	for _, item := range changes {
		known[item.Key] = known[item.Key] || !item.IsDeleted
		isUnknown = isUnknown || strings.HasPrefix(item.Key, platform.RangeEndpoints) && !known[item.Key]
	}
	since := g.historySince(items, oldest, readAt)
	g.log.Write(logger.EventHistoryRead, logger.Int("revision", oldest.Revision), logger.Int("changes", len(changes)),
		logger.Int("covered-ms", readAt-since), logger.Bool("unknown-version", isUnknown))
	endpoints := decodeChanges(changes)
	g.forwarder.UpdateVersions(func(h *resumer.VersionHistory) {
		h.Extend(since, readAt)
		for _, e := range endpoints {
			h.RecordPast(e.Service, e.Software, readAt)
		}
		if isUnknown {
			h.RecordUnknown(readAt)
		}
	})
}

// historySince returns the time since which the store's changes are all known, if they are known after a position.
func (g *Gateway) historySince(items []replicator.Item, oldest replicator.Position, readAt timekeeper.Millis) timekeeper.Millis {
	if oldest.Revision <= firstRevision {
		return 0
	}
	if oldest.Era > firstEra || g.settings.StoreHistory <= historyMargin || g.isDiscardedEarly(items, oldest) {
		return readAt
	}

	return readAt - g.settings.StoreHistory + historyMargin
}

// isDiscardedEarly reports whether an endpoint has started so recently that the store would still hold the creation of its entry if
// it had not discarded changes early. Without the start of an endpoint that cannot be excluded.
func (g *Gateway) isDiscardedEarly(items []replicator.Item, oldest replicator.Position) bool {
	kept := g.clock.Wall() - g.settings.StoreHistory
	for _, item := range items {
		created := item.Created
		if created == 0 {
			created = item.Revision
		}
		e, err := platform.DecodeEndpoint(endpointID(item.Key), item.Value)
		if err == nil && created <= oldest.Revision && (e.StartedAt == 0 || e.StartedAt > kept) {
			return true
		}
	}

	return false
}
