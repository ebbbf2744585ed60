package gateway

import (
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// newEarlierItems returns what a peer that has known the store only since it was restored cannot know of a range. It returns nil
// if the peer does not ask for it, or if the time for writing again is over.
func (g *Gateway) newEarlierItems(peerState *messenger.RangeState, r *replicator.Replica) *messenger.EarlierItems {
	isRestored := r.EraSince() > 0 && g.clock.Now()-r.EraSince() < operatorRewriteTime
	if !peerState.GetRecent() || !isRestored {
		return nil
	}
	return &messenger.EarlierItems{AsOf: r.Synced().Revision, Era: uint64(r.Synced().Era), Items: encodeItems(r.Earlier())}
}

// applyEarlierItems updates a replica by what a peer knows from before the store was restored, if anything.
func (p *peers) applyEarlierItems(r *replicator.Replica, name string, e *messenger.EarlierItems) {
	if e == nil || e.Era == 0 {
		return
	}
	items := make([]replicator.Item, 0, len(e.Items))
	for _, item := range e.Items {
		// Which of the earlier eras the item is of does not matter.
		position := replicator.Position{Era: replicator.Era(e.Era) - 1, Revision: item.Revision}
		items = append(items, replicator.Item{Key: item.Key, Value: item.Value, Position: position, IsDeleted: item.Deleted})
	}
	asOf := replicator.Position{Era: replicator.Era(e.Era), Revision: e.AsOf}
	p.gateway.updateReplica("peer "+name, r, func(now timekeeper.Millis) bool { return r.LearnEarlier(items, asOf, now) })
}
