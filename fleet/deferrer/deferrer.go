package deferrer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// waitDivisor limits what callers honour of a Retry-After to the time that they have left divided by it.
	waitDivisor = 3
	// defaultTimeLeft stands for the time of a caller that has told none.
	defaultTimeLeft = 6 * timekeeper.Second
	// returnShare is the part of a service's usual answers that returning callers may take; the rest is for new requests.
	returnShare = 0.5
	// maxSpacing is the longest time between two returns unless it takes longer until a request can be served: a gateway at the stated target
	// (3,200 requests a second over 410 gateways) answers eight requests a second.
	maxSpacing = 125 * timekeeper.Millis(1)
	// maxServices limits the services for which returns are counted, at about 2.5 KB each.
	maxServices = 1024
)

// Refused describes a refused request.
type Refused struct {
	// Service is the service that was to serve the request, empty if that is not known.
	Service model.ServiceID
	// Priority is the urgency of the request, the most urgent if it is not known.
	Priority prioritizer.Priority
	// Earliest is the time from now after which the request can be served, as far as that is known.
	Earliest timekeeper.Millis
	// IsUnforeseen is true if nothing tells when the request can be served; Earliest is then the least time that it takes.
	IsUnforeseen bool
	// TimeLeft is the time that the caller has, by its own word, or zero if it has not told it.
	TimeLeft timekeeper.Millis
}

// Return is when a refused caller should come back.
type Return struct {
	// After is the time from now, for the Retry-After.
	After timekeeper.Millis
	// Window is the length of the span from which After was drawn, zero if the caller cannot come back in time.
	Window timekeeper.Millis
}

// Deferrer decides when callers come back that a gateway refuses together, such as those of a service that has lost its endpoints, or of
// all services at a start without a configuration. Gateways share nothing for this: each keeps its own callers apart by as much as
// it usually serves, and the random part keeps it apart from the others. It is not safe for concurrent use.
type Deferrer struct {
	services map[model.ServiceID]*serviceReturns
}

// serviceReturns is what a gateway knows of the callers of a service that are to come back.
type serviceReturns struct {
	ledger ledger
	served servedRate
}

// NewDeferrer returns a deferrer that knows of no refusal.
func NewDeferrer() *Deferrer {
	return &Deferrer{services: map[model.ServiceID]*serviceReturns{}}
}

// Defer decides when the caller of a refused request comes back. The random number is in [0, 1).
//
// Callers return in the order of urgency and then of refusal, one in each spacing of the service, while that fits into their time. Those
// for whom it does not are spread over all of their time, the more urgent ones over its first part. If nothing tells when the request
// can be served, a caller that has one retry comes back in the second half of its time.
func (d *Deferrer) Defer(r Refused, now timekeeper.Millis, random float64) Return {
	latest := LatestReturn(r.TimeLeft)
	if r.Earliest >= latest {
		return Return{After: r.Earliest}
	}
	s := d.returnsOf(r.Service)
	from, window := s.window(r, latest, now)
	after := from + timekeeper.Millis(random*float64(window))
	s.ledger.add(now+after, r.Priority, now)

	return Return{After: after, Window: window}
}

// LatestReturn returns the longest Retry-After that a caller honours that has a time left, zero if it has not told it.
func LatestReturn(timeLeft timekeeper.Millis) timekeeper.Millis {
	if timeLeft <= 0 {
		timeLeft = defaultTimeLeft
	}

	return timeLeft / waitDivisor
}

// window returns the span in which a caller comes back, as its beginning and its length.
func (s *serviceReturns) window(r Refused, latest, now timekeeper.Millis) (from, length timekeeper.Millis) {
	if r.IsUnforeseen {
		from = max(r.Earliest, latest/2)

		return s.part(r.Priority, from, latest-from, now)
	}
	spacing := min(s.served.spacing(now), float64(max(maxSpacing, r.Earliest)))
	n := s.ledger.count(r.Priority, now)
	from = r.Earliest + timekeeper.Millis(float64(n.moreUrgent+n.equal)*spacing)
	if length = timekeeper.Millis(spacing); from+length <= latest {
		return from, length
	}

	return s.part(r.Priority, r.Earliest, latest-r.Earliest, now)
}

// part returns the part of a span that callers of a priority share by their number among those that are to come back.
func (s *serviceReturns) part(priority prioritizer.Priority, from, length, now timekeeper.Millis) (partFrom, partLength timekeeper.Millis) {
	n := s.ledger.count(priority, now)
	if n.equal == 0 {
		return from, length
	}
	begin := length * timekeeper.Millis(n.moreUrgent) / timekeeper.Millis(n.all)
	end := length * timekeeper.Millis(n.moreUrgent+n.equal) / timekeeper.Millis(n.all)

	return from + begin, end - begin
}

// RecordServed counts an answer that the gateway has relayed for a service.
func (d *Deferrer) RecordServed(id model.ServiceID, now timekeeper.Millis) {
	d.returnsOf(id).served.record(now)
}

// Out returns the number of refused callers that are still to come back.
func (d *Deferrer) Out(now timekeeper.Millis) int {
	out := 0
	for _, s := range d.services {
		out += s.ledger.total(now)
	}

	return out
}

// returnsOf returns the state of a service. Services beyond maxServices share one.
func (d *Deferrer) returnsOf(id model.ServiceID) *serviceReturns {
	s, ok := d.services[id]
	if !ok && len(d.services) >= maxServices {
		id = ""
		s, ok = d.services[id]
	}
	if !ok {
		s = &serviceReturns{}
		d.services[id] = s
	}

	return s
}
