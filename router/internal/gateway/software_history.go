package gateway

import (
	"context"
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
	// firstRevision is the revision after which a whole history begins.
	firstRevision = 1
	// historyTries and historyPause are how often the history is read until it is, and the pause in between.
	historyTries = 5
	historyPause = timekeeper.Second
)

// listTime is the time of a list, zero if there was none, and how long the VM had been suspended by then.
type listTime struct {
	at, suspended timekeeper.Millis
}

// storeSilence returns the time since the store last answered this gateway or another one.
func (g *Gateway) storeSilence() timekeeper.Millis {
	return g.silenceBefore(g.clock.Now())
}

// silenceBefore returns the time from the last list of endpoints that was known to be whole to a time. It counts what the clock does
// not: the time for which the VM was suspended.
func (g *Gateway) silenceBefore(at timekeeper.Millis) timekeeper.Millis {
	known := g.endpointsKnown.Load()
	if known.at == 0 {
		return timekeeper.Hour
	}

	return at - g.clock.Now() + g.silenceSince(*known)
}

// silenceSince returns the time since a list, with the time for which the VM was suspended.
func (g *Gateway) silenceSince(known listTime) timekeeper.Millis {
	return g.clock.Now() - known.at + g.clock.Suspended() - known.suspended
}

// raiseEndpointsKnown records that the list of endpoints was known to be whole at a time. g.mu must be held.
func (g *Gateway) raiseEndpointsKnown(at timekeeper.Millis) {
	if at >= g.endpointsKnown.Load().at {
		g.endpointsKnown.Store(&listTime{at: at, suspended: g.clock.Suspended()})
	}
}

// recordWholeList records that a replica is being replaced by the whole range as it was at a time. If that is long after the last
// known state of the endpoint list, endpoints may have come and gone in between. g.mu must be held.
func (g *Gateway) recordWholeList(r *replicator.Replica, era replicator.Era, at timekeeper.Millis) {
	if r != g.endpointReplica {
		return
	}
	isContinuous := r.HasSynced() && era == r.Synced().Era && g.silenceBefore(at) <= g.settings.DrainTime
	g.raiseEndpointsKnown(at)
	if !isContinuous {
		g.forwarder.UpdateVersions(func(h *resumer.VersionHistory) { h.Restart(at) })
	}
}

// recordChanges records the software versions in changes of the endpoint list, up to a time. g.mu must be held.
func (g *Gateway) recordChanges(r *replicator.Replica, changes []replicator.Item, at timekeeper.Millis) {
	if r != g.endpointReplica {
		return
	}
	g.raiseEndpointsKnown(at)
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

// markOriginsUncertain makes the origins of recent streams uncertain if their endpoint has started again with another software version:
// which of the two began them is not known. g.mu must be held.
func (g *Gateway) markOriginsUncertain(e, previous *cataloguer.Endpoint) {
	if e.Software == previous.Software {
		return
	}
	since := g.endpointsKnown.Load().at - outageHeartbeats*g.settings.HeartbeatInterval
	g.forwarder.MarkOriginsUncertain(e.ID, since)
}

// readHistory learns from the changes of the store which software versions have served before this process, if the store still holds
// all changes that it ever had, up to a position. A part of them proves nothing: the store discards changes without saying when they
// were made.
func (g *Gateway) readHistory(ctx context.Context, at replicator.Position) {
	if at.Era > firstEra {
		return
	}
	for range historyTries {
		readAt := g.clock.Now()
		changes, _, err := g.store.Watch(ctx, replicator.Position{Era: at.Era, Revision: firstRevision}, shortestWait)
		if err == nil {
			g.recordHistory(changes, readAt)

			return
		}
		g.log.Write(logger.EventHistoryUnread, logger.Err(err))
		if isHistoryLost(err) || !timekeeper.Sleep(ctx, historyPause) {
			return
		}
	}
}

// recordHistory records the software versions in all changes that the store ever had.
func (g *Gateway) recordHistory(changes []replicator.Item, readAt timekeeper.Millis) {
	g.log.Write(logger.EventHistoryRead, logger.Int("changes", len(changes)))
	endpoints := decodeChanges(changes)
	g.forwarder.UpdateVersions(func(h *resumer.VersionHistory) {
		h.Extend(0, readAt)
		for _, e := range endpoints {
			h.RecordPast(e.Service, e.Software, readAt)
		}
	})
}
