package cataloguer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Endpoint is an entry of the endpoint list. Cold times are in milliseconds.
type Endpoint struct {
	ID      model.EndpointID
	Service model.ServiceID
	Address string
	Domain  model.DomainID
	// Software is the version of the software that the endpoint runs, empty if it is not known.
	Software   model.SoftwareVersion
	Slots      int
	IsDraining bool
	// StartedAt is the start of the endpoint's process on its own clock, zero if it is not known. It tells processes apart that
	// use one ID after another.
	StartedAt timekeeper.Millis
	// ColdRemaining is how long the endpoint stays cold, counted from the time at which the entry was written.
	ColdRemaining timekeeper.Millis
	// ColdUntil is the end of the cold start on the clock of this process.
	ColdUntil timekeeper.Millis
	// FirstSeen is the time at which this process first saw the run of the endpoint or, if earlier, at which the run began by its own word.
	FirstSeen timekeeper.Millis
}

// Process returns the run of the endpoint that wrote the entry.
func (e *Endpoint) Process() model.EndpointProcess {
	return model.EndpointProcess{ID: e.ID, StartedAt: e.StartedAt}
}
