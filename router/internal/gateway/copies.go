package gateway

import (
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// copyFor returns what the other side lacks of a range that it cannot follow at the store: the changes, or all of it.
func copyFor(theirs *messenger.RangeState, r *replicator.Replica) *messenger.RangeCopy {
	if !r.HasSynced() || !theirs.GetWanted() {
		return nil
	}
	if theirs.GetSynced() && (r.SyncedRevision() <= theirs.GetAsOf() || r.ContentRevision() <= theirs.GetContent()) {
		return nil
	}
	items, changes := r.ChangesSince(theirs.GetAsOf())
	if !theirs.GetSynced() || !changes {
		items, changes = r.LiveItems(), false
	}
	c := &messenger.RangeCopy{AsOf: r.SyncedRevision(), Changes: changes}
	for _, item := range items {
		c.Items = append(c.Items, &messenger.StoredItem{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}

	return c
}

func (p *peers) takeCopy(r *replicator.Replica, name string, c *messenger.RangeCopy) {
	if c == nil {
		return
	}
	items := make([]replicator.Item, 0, len(c.Items))
	for _, item := range c.Items {
		items = append(items, replicator.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}
	p.g.take("peer "+name, r, func(now timekeeper.Millis) bool {
		if c.Changes {
			return r.Apply(items, c.AsOf, now)
		}

		return r.Replace(items, c.AsOf, now)
	})
}
