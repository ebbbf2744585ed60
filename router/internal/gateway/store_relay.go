package gateway

import (
	"context"

	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

const (
	// maxRelayedBytes bounds the changes that a reader sends to a follower. Larger ones, such as a configuration of very many routes, are
	// cheaper for both from the store, whose link is wide.
	maxRelayedBytes = 8 << 10
	// maxFollowWait bounds the time that a follower may ask to wait.
	maxFollowWait = 5 * timekeeper.Second
)

// FollowStore implements the RPC FollowStore. It returns an error only if the caller has gone.
func (p *peers) FollowStore(ctx context.Context, r *messenger.FollowStoreRequest) (*messenger.FollowStoreResponse, error) {
	g := p.gateway
	until := g.clock.Now() + min(max(timekeeper.Millis(r.WaitMs), 0), maxFollowWait)
	for {
		response, changed, known := g.changesFor(r)
		now := g.clock.Now()
		wait := min(until, known.at+timekeeper.Millis(r.MaxSilenceMs)) - now
		hasNews := len(response.GetOperator().GetItems()) > 0 || len(response.GetEndpoints().GetItems()) > 0
		if response.LookAtStore || hasNews || wait <= 0 {
			return response, nil
		}
		waitCtx, cancel := context.WithTimeout(ctx, wait.Duration())
		select {
		case <-changed:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// changesFor returns what a follower lacks, a channel that is closed when there is more, and when the store last answered.
func (g *Gateway) changesFor(r *messenger.FollowStoreRequest) (*messenger.FollowStoreResponse, <-chan struct{}, listTime) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFollowedAt = g.clock.Now()
	response := &messenger.FollowStoreResponse{SilenceMs: -1}
	if g.storeKnown.at > 0 {
		response.SilenceMs = int64(g.silenceSince(g.storeKnown))
	}
	var isOperatorWhole, areEndpointsWhole bool
	response.Operator, isOperatorWhole = relayedChanges(r.GetOperator(), g.operatorReplica)
	response.Endpoints, areEndpointsWhole = relayedChanges(r.GetEndpoints(), g.endpointReplica)
	if !isOperatorWhole || !areEndpointsWhole {
		response.Operator, response.Endpoints, response.LookAtStore = nil, nil, true
	}

	return response, g.changed, g.storeKnown
}

// relayedChanges returns the changes of a range since a follower's position. It returns false if they are not all known, if the follower
// is in another era, or if they are too large.
func relayedChanges(follower *messenger.RangeState, r *replicator.Replica) (*messenger.RangeCopy, bool) {
	theirs := replicator.Position{Era: replicator.Era(follower.GetEra()), Revision: follower.GetAsOf()}
	if !r.HasSynced() || !follower.GetSynced() {
		return nil, false
	}
	items, ok := r.ChangesSince(theirs)
	size := 0
	for _, item := range items {
		size += len(item.Key) + len(item.Value)
	}
	if !ok || size > maxRelayedBytes {
		return nil, false
	}

	return encodeCopy(items, r.Synced(), true), true
}
