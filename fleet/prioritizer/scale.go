package prioritizer

import (
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
)

const (
	// engineLevels is the number of priorities that an engine knows; it admits those of level 0 first.
	engineLevels = 10
	// minBands is the number of bands that the levels are divided into at least: one for requests within their account's share and
	// one for others.
	minBands = 2
)

// EngineLevel is the priority of a request at an engine, from 0 (first) to 9.
type EngineLevel int

// NoLevel is the level of requests that are sent without a priority.
const NoLevel EngineLevel = -1

// Scale maps the priorities of a service onto the levels of its engines. The levels are divided into bands of equal size. Each band
// keeps the order of the priorities, and a demoted request comes after all requests of the bands before its own.
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

// bandSize returns the number of levels in a band. Neighboring priorities share a level if a service has more of them.
func (s Scale) bandSize() int {
	return min(len(s.priorities), engineLevels/minBands)
}

// level returns the level of a priority in a band, or in the last band if there are fewer.
func (s Scale) level(p Priority, band int) EngineLevel {
	size := s.bandSize()
	band = min(band, engineLevels/size-1)
	index, _ := slices.BinarySearch(s.priorities, p)
	index = min(index, len(s.priorities)-1)

	return EngineLevel(band*size + index*size/len(s.priorities))
}
