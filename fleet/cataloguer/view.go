package cataloguer

import (
	"iter"
	"maps"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// View is an immutable snapshot of the configuration and endpoints known to a process.
type View struct {
	// Configuration is nil until one has been read.
	Configuration *Configuration
	// DomainsOut holds the failure domains that operators have taken out of service.
	DomainsOut map[model.DomainID]bool
	// ChangedAt is the time at which the view was built.
	ChangedAt timekeeper.Millis

	byService map[model.ServiceID][]*Endpoint
	byID      map[model.EndpointID]*Endpoint
}

// NewView returns a view that groups endpoints by service and keeps their order.
func NewView(c *Configuration, domainsOut map[model.DomainID]bool, endpoints []*Endpoint, now timekeeper.Millis) *View {
	v := &View{
		Configuration: c,
		DomainsOut:    domainsOut,
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

// Endpoints returns the known endpoints of a service, including those that are draining.
func (v *View) Endpoints(id model.ServiceID) []*Endpoint {
	return v.byService[id]
}

// Endpoint returns the endpoint with an ID, or nil.
func (v *View) Endpoint(id model.EndpointID) *Endpoint {
	return v.byID[id]
}

// AllEndpoints returns the known endpoints of all services, in any order.
func (v *View) AllEndpoints() iter.Seq[*Endpoint] {
	return maps.Values(v.byID)
}

// CanTakeWork reports whether an endpoint may receive new requests.
func (v *View) CanTakeWork(e *Endpoint) bool {
	return !e.IsDraining && !v.DomainsOut[e.Domain]
}
