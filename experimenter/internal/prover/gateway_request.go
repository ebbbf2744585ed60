package prover

import (
	"slices"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// gatewayRequest is a caller's request at a gateway. RunCount is the number of attempts that may have run.
type gatewayRequest struct {
	gateway *gatewayProcess
	// view is that of the gateway at the arrival of the request's head.
	view       *cataloguer.View
	service    model.ServiceID
	session    uint64
	retryState retrier.State
	tried      []model.EndpointID
	runCount   int
}

// sendRequest sends a request to a random gateway, if it is running and has a view.
func (s *gatewaySimulation) sendRequest() {
	c := s.choose
	g := s.gateways[c(len(s.gateways))]
	if g.pausedUntil > s.now || g.view == nil {
		return
	}
	r := &gatewayRequest{
		gateway: g,
		view:    g.view,
		service: s.deployment.services[c(len(s.deployment.services))].ID,
		session: uint64(c(40)),
		retryState: retrier.State{Policy: retrier.Policy{
			CanRepeat: c.oneIn(2), MaxRuns: s.deployment.maxRuns, Deadline: s.now + timekeeper.Second,
		}},
	}
	s.traffic[r.service].requests = append(s.traffic[r.service].requests, s.now)
	g.retryBudget.RecordRequest(r.service, s.now)
	s.receiveBody(r)
}

// sendAttempts makes all attempts of a request.
func (s *gatewaySimulation) sendAttempts(r *gatewayRequest) {
	for s.violation == nil && s.sendAttempt(r) {
	}
}

// sendAttempt sends a request once and reports whether another attempt follows.
func (s *gatewaySimulation) sendAttempt(r *gatewayRequest) bool {
	g := r.gateway
	balancerRequest := balancer.Request{Service: r.service, Session: r.session, Tried: r.tried}
	view := g.view
	if s.variant.PlacesByViewOfArrival {
		view = r.view
	}
	choice, refusal := g.balancer.Choose(view, balancerRequest, s.now)
	if refusal != nil {
		s.checkRefusal(r, refusal)

		return false
	}
	id := choice.Endpoint.ID
	s.checkChoice(r, choice.Endpoint)
	g.balancer.RecordStart(id, s.now)
	g.running[id]++
	failure, isServed := s.outcomeAt(id)
	s.recordArrival(r, id, failure)
	duration := timekeeper.Millis(0)
	if isServed {
		duration = s.choose.duration(1500)
	}
	g.scheduledFinishes = append(g.scheduledFinishes, scheduledFinish{at: s.now + duration, endpoint: id})
	if isServed {
		return false
	}
	r.tried = append(r.tried, id)
	if s.variant.RetriesAnyFailure {
		failure.MayHaveRun = false
	}

	return r.retryState.Decide(failure, func() bool { return s.trySpendRetry(r) }, s.now) == retrier.ActionRetry
}

// randomOutcome returns the random outcome of an attempt. A served attempt has also reached the endpoint and run.
func (s *gatewaySimulation) randomOutcome() (failure retrier.AttemptFailure, isServed bool) {
	switch s.choose(8) {
	case 0:
		return retrier.AttemptFailure{}, false
	case 1:
		return retrier.AttemptFailure{ReachedEndpoint: true}, false
	case 2:
		return retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true}, false
	default:
		return retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true}, true
	}
}

// recordArrival records an attempt that reached an endpoint and checks the rate of requests to a cold endpoint and the
// number of runs. Attempts count as retries only once an earlier one has reached an endpoint.
func (s *gatewaySimulation) recordArrival(r *gatewayRequest, id model.EndpointID, failure retrier.AttemptFailure) {
	if !failure.ReachedEndpoint {
		return
	}
	if r.retryState.Reached > 0 {
		s.traffic[r.service].retries = append(s.traffic[r.service].retries, s.now)
	}
	s.recordLimitedArrival(r.gateway, id)
	s.recordNotices(r.gateway, id)
	state := s.endpoints[id]
	if state.coldUntil > s.now {
		state.coldArrivals = append(state.coldArrivals, s.now)
		s.checkColdRate(id, state)
	}
	if !failure.MayHaveRun {
		return
	}
	r.runCount++
	if maxRuns := r.retryState.MaxRuns; r.runCount > 1 && (!r.retryState.CanRepeat || r.runCount > maxRuns) {
		s.recordViolation("at most once", "a request ran %d times, repeatable: %v, maximum %d",
			r.runCount, r.retryState.CanRepeat, maxRuns)
	}
}

func (s *gatewaySimulation) trySpendRetry(r *gatewayRequest) bool {
	gateways := len(r.gateway.balancer.Membership.SettledMembers(s.now))
	if s.variant.SpendsWholeRetryBudget {
		gateways = 1
	}

	return r.gateway.retryBudget.TrySpend(r.service, budgeter.Draw{Gateways: gateways}, s.now)
}

// checkChoice checks that a chosen endpoint belongs to the request's service and has not been tried. Once the gateway has
// had time to learn of it from the store, the endpoint must not be in a domain out of service and must not have been
// removed.
func (s *gatewaySimulation) checkChoice(r *gatewayRequest, e *cataloguer.Endpoint) {
	state := s.endpoints[e.ID]
	if e.Service != r.service || slices.Contains(r.tried, e.ID) {
		s.recordViolation("the right endpoint", "%s of %s was chosen for %s after %v", e.ID, e.Service, r.service, r.tried)
	}
	s.checkKnownState(r.gateway, e.ID)
	inSyncFor := s.now - max(r.gateway.inSyncSince, s.storeCompleteAt)
	if since, isOut := s.domainOutSince[state.domain]; isOut && min(inSyncFor, s.now-since) > syncGracePeriod {
		s.recordViolation("a domain that is out takes no work", "%s chose %s %d ms after %s was taken out of service",
			r.gateway.name, e.ID, s.now-since, state.domain)
	}
	if state.removedAt > 0 && min(inSyncFor, s.now-state.removedAt) > removalBound {
		s.recordViolation("a removed endpoint takes no work", "%s chose %s %d ms after it was removed",
			r.gateway.name, e.ID, s.now-state.removedAt)
	}
}

// checkRefusal checks that a refusal has outcome not-run and a retry time, and that no endpoint could take the request.
func (s *gatewaySimulation) checkRefusal(r *gatewayRequest, refusal *model.Refusal) {
	g := r.gateway
	if refusal.Outcome != model.OutcomeNotRun || refusal.RetryAfter <= 0 {
		s.recordViolation("refusals report not-run and a retry time", "%v has another outcome than not-run or no retry time", refusal)
	}
	isFull := func(e *cataloguer.Endpoint) bool {
		return g.balancer.Limits.Count() > 0 && g.balancer.Load(e.ID) >= e.Slots
	}
	maxConnections := s.configuration.Services[r.service].MaxConnections
	for _, e := range g.view.Endpoints(r.service) {
		hasCapacity := maxConnections == 0 || g.running[e.ID] < max(maxConnections/len(g.balancer.Membership.Members()), 1)
		hasCapacity = hasCapacity && s.hasQuota(g, e) && !isFull(e) && !s.wantsNoRequests(g, e)
		if g.view.CanTakeWork(e) && hasCapacity && e.ColdUntil <= s.now && !slices.Contains(r.tried, e.ID) {
			s.recordViolation("no refusal while an endpoint has capacity",
				"%s refused a request although %s has capacity", g.name, e.ID)
		}
	}
}

// checkColdRate checks the number of requests that a cold endpoint got from all gateways within the last second.
func (s *gatewaySimulation) checkColdRate(id model.EndpointID, state *endpointState) {
	const overshoot, slack = 1.5, 5
	count := 0
	for _, at := range state.coldArrivals {
		if s.now-at < timekeeper.Second {
			count++
		}
	}
	if limit := s.configuration.Services[state.service].MaxColdRequestsPerSecond*overshoot + slack; float64(count) > limit {
		s.recordViolation("cold start limit",
			"%s got %d requests in a second, maximum %.0f", id, count, limit)
	}
}

// checkRetryBudgets checks that the retries in each window do not exceed the limit. The limit follows from the requests in
// that window, in the one half a window earlier or in the one a whole window earlier, whichever has the most.
func (s *gatewaySimulation) checkRetryBudgets() {
	window := s.deployment.retryLimits.Window
	for id, traffic := range s.traffic {
		for from := timekeeper.Millis(0); from < s.now; from += window / 8 {
			requests := max(
				countWithin(traffic.requests, from, window),
				countWithin(traffic.requests, from-window/2, window),
				countWithin(traffic.requests, from-window, window),
			)
			maxRetries := s.deployment.retryLimits.Ratio*float64(requests) + s.deployment.retryLimits.Slack
			if retries := countWithin(traffic.retries, from, window); float64(retries) > maxRetries {
				s.recordViolation("retry budget",
					"%d retries for %s in the window from %d ms, maximum %.1f", retries, id, from, maxRetries)
			}
		}
	}
}

// countWithin returns the number of events in [from, from+duration).
func countWithin(events []timekeeper.Millis, from, duration timekeeper.Millis) int {
	count := 0
	for _, event := range events {
		if event >= from && event < from+duration {
			count++
		}
	}

	return count
}
