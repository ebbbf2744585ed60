package placer

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
)

// Groups builds the groups of the current configuration on demand and caches them.
type Groups struct {
	snapshot       *configurator.Snapshot
	cache          map[GroupKey]*Group
	serviceByModel map[model.ModelID]model.ServiceID
}

// NewGroups returns an empty cache without a configuration.
func NewGroups() *Groups {
	return &Groups{cache: map[GroupKey]*Group{}}
}

// Reset drops the cached groups and switches to a new configuration.
func (g *Groups) Reset(s *configurator.Snapshot) {
	g.snapshot = s
	g.cache = map[GroupKey]*Group{}
	g.serviceByModel = map[model.ModelID]model.ServiceID{}
	for _, id := range s.Endpoints {
		e := s.Fleet.Endpoints[id]
		for _, m := range e.Models {
			g.serviceByModel[m] = e.Service
		}
	}
}

// Get returns the group of a key. The group has no members if there is no configuration or no endpoint matches.
func (g *Groups) Get(key GroupKey) *Group {
	if group, ok := g.cache[key]; ok {
		return group
	}
	if g.snapshot == nil {
		return &Group{}
	}
	group := NewGroup(g.snapshot, key)
	if len(group.Members) > 0 {
		g.cache[key] = group
	}

	return group
}

// ServiceOf returns the service whose endpoints declare a model, or an empty ID.
func (g *Groups) ServiceOf(id model.ModelID) model.ServiceID {
	return g.serviceByModel[id]
}
