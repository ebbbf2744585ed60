package model

import "cardamompulley/fleet/timekeeper"

// EndpointProcess is one run of an endpoint. StartedAt is zero if the start is not known.
type EndpointProcess struct {
	ID        EndpointID
	StartedAt timekeeper.Millis
}
