package cataloguer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// View is one immutable state of what a process believes.
type View struct {
	// Configuration is nil until one has been read.
	Configuration *Configuration
	// Out are the failure domains that operators have taken out.
	Out map[model.DomainID]bool
	// Revision is the store's revision of the newest change in the view.
	Revision uint64
	// ChangedAt is when the view came into force.
	ChangedAt timekeeper.Millis

	byService map[model.ServiceID][]*Endpoint
	byID      map[model.EndpointID]*Endpoint
}

// NewView groups endpoints by service, in the order given.
func NewView(c *Configuration, out map[model.DomainID]bool, endpoints []*Endpoint, revision uint64, now timekeeper.Millis) *View {
	v := &View{
		Configuration: c,
		Out:           out,
		Revision:      revision,
		ChangedAt:     now,
		byService:     map[model.ServiceID][]*Endpoint{},
		byID:          make(map[model.EndpointID]*Endpoint, len(endpoints)),
	}
	for _, e := range endpoints {
		v.byService[e.Service] = append(v.byService[e.Service], e)
		v.byID[e.ID] = e
	}

	return v
}

// Endpoints returns the known endpoints of a service, those that leave included.
func (v *View) Endpoints(id model.ServiceID) []*Endpoint {
	return v.byService[id]
}

// Endpoint returns the endpoint of an id, or nil.
func (v *View) Endpoint(id model.EndpointID) *Endpoint {
	return v.byID[id]
}

// Open tells whether an endpoint may be given new work.
func (v *View) Open(e *Endpoint) bool {
	return !e.Leaving && !v.Out[e.Domain]
}
