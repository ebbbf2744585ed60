package queuer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Priority is the priority of a request; lower values run first.
type Priority int

// Ticket identifies a queued request.
type Ticket uint64

// Request is a waiting request. A zero Deadline means none, a zero ExpectedDuration that it is not known.
type Request struct {
	Ticket           Ticket
	Account          model.AccountID
	Priority         Priority
	Deadline         timekeeper.Millis
	ExpectedDuration timekeeper.Millis
	// TargetLatency is the time within which the response is due; zero means that it has none.
	TargetLatency timekeeper.Millis
	// OnTimeUntil is the latest start with which the request can still meet its target latency; zero means that it has none.
	OnTimeUntil timekeeper.Millis
	// Cost is what the request counts towards the share of its account; zero counts as one.
	Cost float64
	// QueuedAt is the time from which the request counts as waiting.
	QueuedAt timekeeper.Millis
}

// IsLate reports whether a request that starts now misses its target latency.
func (r *Request) IsLate(now timekeeper.Millis) bool {
	return r.OnTimeUntil > 0 && now > r.OnTimeUntil
}

func (r *Request) cost() float64 {
	if r.Cost > 0 {
		return r.Cost
	}

	return 1
}
