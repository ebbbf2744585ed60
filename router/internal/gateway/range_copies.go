package gateway

import (
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// newRangeCopy returns what a peer lacks of a range that it cannot read from the store: the changes since the peer's
// position or, if they are not all known, the whole range. It returns nil if the peer does not ask for a copy or is up to
// date.
func newRangeCopy(peerState *messenger.RangeState, r *replicator.Replica) *messenger.RangeCopy {
	if !r.HasSynced() || !peerState.GetWanted() {
		return nil
	}
	theirs := peerPosition(peerState, r)
	if peerState.GetSynced() && !isBehind(theirs, peerState.GetContent(), r) {
		return nil
	}
	items, isDelta := r.ChangesSince(theirs)
	if !peerState.GetSynced() || !isDelta {
		items, isDelta = r.LiveItems(), false
	}

	return encodeCopy(items, r.Synced(), isDelta)
}

// encodeCopy returns a copy of a range, or of the changes in it, as of a position.
func encodeCopy(items []replicator.Item, at replicator.Position, isDelta bool) *messenger.RangeCopy {
	return &messenger.RangeCopy{AsOf: at.Revision, Era: uint64(at.Era), Changes: isDelta, Items: encodeItems(items)}
}

// encodeItems returns items of the store in a message. Their era stands beside them.
func encodeItems(items []replicator.Item) []*messenger.StoredItem {
	var encoded []*messenger.StoredItem
	for _, item := range items {
		encoded = append(encoded, &messenger.StoredItem{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.IsDeleted,
		})
	}

	return encoded
}

// decodeCopy returns the items of a copy and the position that it is as of.
func decodeCopy(c *messenger.RangeCopy) (replicator.Position, []replicator.Item) {
	at := replicator.Position{Era: replicator.Era(c.GetEra()), Revision: c.GetAsOf()}
	items := make([]replicator.Item, 0, len(c.GetItems()))
	for _, item := range c.GetItems() {
		items = append(items, replicator.Item{
			Key: item.Key, Value: item.Value, Position: replicator.Position{Era: at.Era, Revision: item.Revision}, IsDeleted: item.Deleted,
		})
	}

	return at, items
}

// peerPosition returns the position of a peer's replica. A peer that knows no era is taken to be in the era of r.
func peerPosition(peerState *messenger.RangeState, r *replicator.Replica) replicator.Position {
	era := replicator.Era(peerState.GetEra())
	if era == 0 {
		era = r.Synced().Era
	}

	return replicator.Position{Era: era, Revision: peerState.GetAsOf()}
}

// isBehind reports whether a peer at a position, with the newest change at the revision content, lacks a change that r has.
func isBehind(theirs replicator.Position, content uint64, r *replicator.Replica) bool {
	if theirs.Era != r.Synced().Era {
		return theirs.Era < r.Synced().Era
	}

	return theirs.Revision < r.Synced().Revision && content < r.ContentRevision()
}

// applyRangeCopy updates a replica from the copy that a peer has sent, if any, with the time since the store answered it.
func (p *peers) applyRangeCopy(r *replicator.Replica, name string, c *messenger.RangeCopy, silence timekeeper.Millis) {
	if c == nil {
		return
	}
	at, items := decodeCopy(c)
	p.gateway.updateReplica("peer "+name, r, func(now timekeeper.Millis) bool {
		if c.Changes {
			p.gateway.recordChanges(r, items, now-silence)

			return r.Apply(items, at, now-silence, now)
		}

		p.gateway.recordWholeList(r, at.Era, now-silence)

		return r.Replace(items, at, now-silence, now)
	})
}
