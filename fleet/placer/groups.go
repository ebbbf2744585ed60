package placer

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
)

// Groups builds the groups of the configuration in force as they are asked for.
type Groups struct {
	snapshot *configurator.Snapshot
	built    map[GroupKey]*Group
	services map[model.ModelID]model.ServiceID
}

// NewGroups returns groups of no configuration.
func NewGroups() *Groups {
	return &Groups{built: map[GroupKey]*Group{}}
}

// Reset takes on a new configuration.
func (g *Groups) Reset(s *configurator.Snapshot) {
	g.snapshot = s
	g.built = map[GroupKey]*Group{}
	g.services = map[model.ModelID]model.ServiceID{}
	for _, id := range s.Endpoints {
		e := s.Fleet.Endpoints[id]
		for _, m := range e.Models {
			g.services[m] = e.Service
		}
	}
}

// Get returns the group of a key; it has no members where nothing is declared.
func (g *Groups) Get(key GroupKey) *Group {
	if built, ok := g.built[key]; ok {
		return built
	}
	if g.snapshot == nil {
		return &Group{}
	}
	built := NewGroup(g.snapshot, key)
	if len(built.Members) > 0 {
		g.built[key] = built
	}

	return built
}

// ServiceOf returns the service whose endpoints declare a model, or an empty id.
func (g *Groups) ServiceOf(id model.ModelID) model.ServiceID {
	return g.services[id]
}
