package cataloguer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID      model.EndpointID
	Service model.ServiceID
	Address string
	Domain  model.DomainID
	Slots   int
	Leaving bool
	// Cold is how long the endpoint stayed cold after the entry was written.
	Cold timekeeper.Millis
	// Revision is the store's revision of the entry.
	Revision uint64
	// ColdUntil is the instant, on the clock of this process, at which the cold start ends.
	ColdUntil timekeeper.Millis
	// Since is the instant at which this process first saw the endpoint.
	Since timekeeper.Millis
}
