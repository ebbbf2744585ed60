package budgeter

import (
	"math"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/prioritizer"
	"cardamompulley/fleet/timekeeper"
)

// usableShare is the part of its share that a gateway spends. The rest is headroom for requests that this window counts but
// the operators' window leaves out.
const usableShare = 0.8

// reservedShare is the part of what a gateway may spend that is reserved for the most urgent requests of a service, rounded down to
// whole retries: a budget of one or two retries is open to all.
const reservedShare = 1.0 / 3

// maxStartsPerWindow is how often a gateway may start within a window without the fleet exceeding the slack: a new process
// does not know how many retries its predecessor has spent.
const maxStartsPerWindow = 3

// RetryLimits are the operators' limits on retries, over all gateways.
type RetryLimits struct {
	// Ratio is the number of retries allowed for each request in a window.
	Ratio float64
	// Slack is the number of retries allowed in a window in addition to the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window timekeeper.Millis
}

type serviceCounts struct {
	requests *window
	retries  *window
}

// RetryBudget enforces this gateway's share of the fleet's retry limits, for each service.
type RetryBudget struct {
	limits   RetryLimits
	services map[model.ServiceID]*serviceCounts
}

// NewRetryBudget returns a budget from which nothing has been spent.
func NewRetryBudget(l RetryLimits) *RetryBudget {
	return &RetryBudget{limits: l, services: map[model.ServiceID]*serviceCounts{}}
}

func (b *RetryBudget) counts(id model.ServiceID) *serviceCounts {
	c, ok := b.services[id]
	if !ok {
		c = &serviceCounts{requests: newWindow(b.limits.Window), retries: newWindow(b.limits.Window)}
		b.services[id] = c
	}

	return c
}

// RecordRequest records a caller's request to a service, which raises the number of allowed retries.
func (b *RetryBudget) RecordRequest(id model.ServiceID, now timekeeper.Millis) {
	b.counts(id).requests.add(now)
}

// Draw describes who draws on the budget of a service.
type Draw struct {
	// Gateways is the number of gateways among which the slack is divided; with 0 there is no slack.
	Gateways int
	// Priority is that of the request, and MostUrgent the most urgent one among the requests of the service.
	Priority   prioritizer.Priority
	MostUrgent prioritizer.Priority
}

// TrySpend takes one retry from the budget of a service and reports whether the share of this gateway allowed it. The last part of
// the budget is reserved for the most urgent requests.
func (b *RetryBudget) TrySpend(id model.ServiceID, d Draw, now timekeeper.Millis) bool {
	c := b.counts(id)
	limit := b.limits.Ratio * float64(c.requests.count(now))
	if d.Gateways > 0 {
		limit += b.limits.Slack / float64(d.Gateways*maxStartsPerWindow)
	}
	limit *= usableShare
	if d.Priority > d.MostUrgent {
		limit -= math.Floor(reservedShare * limit)
	}
	if float64(c.retries.count(now)+1) > limit {
		return false
	}
	c.retries.add(now)

	return true
}

// GiveBack returns a retry that was taken at a time and has not been made.
func (b *RetryBudget) GiveBack(id model.ServiceID, takenAt, now timekeeper.Millis) {
	b.counts(id).retries.remove(takenAt, now)
}
