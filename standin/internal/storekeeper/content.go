package storekeeper

import (
	"maps"
	"slices"
)

// content is what a store loses when it comes back from a copy.
type content struct {
	items    map[string]Item
	events   []Item
	revision uint64
	// compactedRevision is the revision up to which the history of events has been removed.
	compactedRevision uint64
}

func newContent() content {
	return content{items: map[string]Item{}}
}

func (c *content) clone() content {
	return content{
		items:             maps.Clone(c.items),
		events:            slices.Clone(c.events),
		revision:          c.revision,
		compactedRevision: c.compactedRevision,
	}
}
