package gateway

import (
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// newRangeCopy returns what a peer lacks of a range that it cannot read from the store: the changes since the peer's
// revision or, if they are not all known, the whole range. It returns nil if the peer does not ask for a copy or is up to
// date.
func newRangeCopy(peerState *messenger.RangeState, r *replicator.Replica) *messenger.RangeCopy {
	if !r.HasSynced() || !peerState.GetWanted() {
		return nil
	}
	if peerState.GetSynced() && (r.SyncedRevision() <= peerState.GetAsOf() || r.ContentRevision() <= peerState.GetContent()) {
		return nil
	}
	items, isDelta := r.ChangesSince(peerState.GetAsOf())
	if !peerState.GetSynced() || !isDelta {
		items, isDelta = r.LiveItems(), false
	}
	c := &messenger.RangeCopy{AsOf: r.SyncedRevision(), Changes: isDelta}
	for _, item := range items {
		c.Items = append(c.Items, &messenger.StoredItem{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.IsDeleted,
		})
	}

	return c
}

// applyRangeCopy updates a replica from the copy that a peer has sent, if any.
func (p *peers) applyRangeCopy(r *replicator.Replica, name string, c *messenger.RangeCopy) {
	if c == nil {
		return
	}
	items := make([]replicator.Item, 0, len(c.Items))
	for _, item := range c.Items {
		items = append(items, replicator.Item{
			Key: item.Key, Value: item.Value, Position: replicator.Position{Revision: item.Revision}, IsDeleted: item.Deleted,
		})
	}
	p.gateway.updateReplica("peer "+name, r, func(now timekeeper.Millis) bool {
		if c.Changes {
			return r.Apply(items, c.AsOf, now)
		}

		return r.Replace(items, c.AsOf, now)
	})
}
