package admitter

import (
	"cardamompulley/fleet/queuer"
	"cardamompulley/fleet/timekeeper"
)

// Priority is the priority of a request; lower values run first.
type Priority = queuer.Priority

// Priorities, with their wire values.
const (
	PriorityInteractive Priority = 0
	PriorityNormal      Priority = 1
	PriorityBatch       Priority = 2
)

// AgingStep is the waiting time that raises the priority of a request by one, so that batch requests are not starved.
const AgingStep = 5 * timekeeper.Second

// Ticket identifies a queued request.
type Ticket = queuer.Ticket

// Request is a request to be admitted.
type Request = queuer.Request
