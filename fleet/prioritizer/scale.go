package prioritizer

import (
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
)

const (
	// engineLevels is the number of priorities that an engine knows; it admits those of level 0 first.
	engineLevels = 10
	// maxGroups is the number of groups of priorities that have a level of their own.
	maxGroups = engineLevels / 2
	// maxSplitGroups is the number of groups up to which each has two levels, for requests within their account's share and beyond it.
	maxSplitGroups = engineLevels / 3
)

// standing is how a request stands to the share of its account.
type standing int

const (
	// withinShare is the standing of requests that the account's share covers.
	withinShare standing = iota
	// beyondShare is the standing of requests beyond the share. They come after others of their priority.
	beyondShare
	// beyondUsual is the standing of requests beyond the share and beyond what the account usually sends. They come after all others.
	beyondUsual
)

// EngineLevel is the priority of a request at an engine, from 0 (first) to 9.
type EngineLevel int

// NoLevel is the level of requests that are sent without a priority.
const NoLevel EngineLevel = -1

// Scale maps the priorities of a service onto the levels of its engines, in their order. Neighboring priorities share a level if a service
// has more of them than there are levels.
type Scale struct {
	priorities []Priority
}

// NewScale returns the scale of a service.
func NewScale(c *cataloguer.Configuration, id model.ServiceID) Scale {
	var s Scale
	for _, number := range c.Priorities(id) {
		s.priorities = append(s.priorities, clamp(number))
	}
	s.priorities = slices.Compact(s.priorities)

	return s
}

// IsUniform reports whether all requests of the service have the same priority.
func (s Scale) IsUniform() bool {
	return len(s.priorities) < 2
}

// MostUrgent returns the most urgent of the service's priorities.
func (s Scale) MostUrgent() Priority {
	if len(s.priorities) == 0 {
		return MostUrgent
	}

	return s.priorities[0]
}

// level returns the level of a request.
func (s Scale) level(p Priority, st standing) EngineLevel {
	groups := min(len(s.priorities), maxGroups)
	index, _ := slices.BinarySearch(s.priorities, p)
	group := min(index, len(s.priorities)-1) * groups / len(s.priorities)
	levels := 1
	if groups <= maxSplitGroups {
		levels = 2
	}
	if st == beyondUsual {
		return EngineLevel(groups*levels + group)
	}

	return EngineLevel(group*levels + min(int(st), levels-1))
}
