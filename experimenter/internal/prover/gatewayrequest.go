package prover

import (
	"slices"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// gatewayRequest is one request of a caller at a gateway.
type gatewayRequest struct {
	gateway *gatewayProcess
	service model.ServiceID
	session uint64
	used    retrier.State
	tried   []model.EndpointID
	runs    int
}

// sendRequest lets one caller send a request to a gateway that serves.
func (w *gatewayWorld) sendRequest() {
	c := w.choose
	g := w.gateways[c(len(w.gateways))]
	if g.frozenTill > w.now || g.view == nil {
		return
	}
	r := &gatewayRequest{
		gateway: g,
		service: w.site.services[c(len(w.site.services))].ID,
		session: uint64(c(40)),
		used: retrier.State{Policy: retrier.Policy{
			CanRepeat: c.chance(2), MaxRuns: w.site.mostRuns, Deadline: w.now + timekeeper.Second,
		}},
	}
	w.traffic[r.service].requests = append(w.traffic[r.service].requests, w.now)
	g.retries.RecordRequest(r.service, w.now)
	for w.violation == nil && w.attempt(r) {
	}
}

// attempt sends a request once and tells whether another attempt follows.
func (w *gatewayWorld) attempt(r *gatewayRequest) bool {
	g := r.gateway
	q := balancer.Request{Service: r.service, Session: r.session, Tried: r.tried}
	choice, refusal := g.balancer.Choose(g.view, q, w.now)
	if refusal != nil {
		w.checkRefusal(r, refusal)

		return false
	}
	id := choice.Endpoint.ID
	w.checkChoice(r, choice.Endpoint)
	g.balancer.RecordStart(id, w.now)
	g.running[id]++
	fault, served := w.outcome()
	w.arrive(r, id, fault)
	span := timekeeper.Millis(0)
	if served {
		span = w.choose.span(1500)
	}
	g.ends = append(g.ends, runEnd{at: w.now + span, endpoint: id})
	if served {
		return false
	}
	r.tried = append(r.tried, id)
	if w.variant.RepeatsAnything {
		fault.MayHaveRun = false
	}

	return r.used.Decide(fault, func() bool { return w.spend(r) }, w.now) == retrier.ActionRetry
}

// outcome draws what becomes of an attempt.
func (w *gatewayWorld) outcome() (fault retrier.AttemptFailure, served bool) {
	switch w.choose(8) {
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

// arrive notes what an endpoint sees of an attempt.
func (w *gatewayWorld) arrive(r *gatewayRequest, id model.EndpointID, f retrier.AttemptFailure) {
	if !f.ReachedEndpoint {
		return
	}
	if r.used.Reached > 0 {
		w.traffic[r.service].repeats = append(w.traffic[r.service].repeats, w.now)
	}
	t := w.endpoints[id]
	if t.coldUntil > w.now {
		t.arrivals = append(t.arrivals, w.now)
		w.checkCold(id, t)
	}
	if !f.MayHaveRun {
		return
	}
	r.runs++
	if most := r.used.MaxRuns; r.runs > 1 && (!r.used.CanRepeat || r.runs > most) {
		w.fail("at most once", "a request ran %d times, repeatable: %v, most %d", r.runs, r.used.CanRepeat, most)
	}
}

func (w *gatewayWorld) spend(r *gatewayRequest) bool {
	sharers := len(r.gateway.balancer.Membership.SettledMembers(w.now))
	if w.variant.SpendsAlone {
		sharers = 1
	}

	return r.gateway.retries.TrySpend(r.service, sharers, w.now)
}

// checkChoice holds a choice against what the gateway was told and against what really holds.
func (w *gatewayWorld) checkChoice(r *gatewayRequest, e *cataloguer.Endpoint) {
	t := w.endpoints[e.ID]
	if e.Service != r.service || slices.Contains(r.tried, e.ID) {
		w.fail("the right endpoint", "%s of %s was chosen for %s after %v", e.ID, e.Service, r.service, r.tried)
	}
	followed := w.now - r.gateway.followedSince
	if since, out := w.outSince[t.domain]; out && min(followed, w.now-since) > inTouch {
		w.fail("a domain that is out takes no work", "%s chose %s %d ms after %s went out", r.gateway.name, e.ID, w.now-since, t.domain)
	}
	if t.closedAt > 0 && min(followed, w.now-t.closedAt) > deletedBound {
		w.fail("an endpoint that has left takes no work", "%s chose %s %d ms after it left", r.gateway.name, e.ID, w.now-t.closedAt)
	}
}

// checkRefusal looks for an endpoint that could have been given the request.
func (w *gatewayWorld) checkRefusal(r *gatewayRequest, refusal *model.Refusal) {
	g := r.gateway
	if refusal.Outcome != model.OutcomeNotRun || refusal.RetryAfter <= 0 {
		w.fail("refusals are true", "%v without a time to come back", refusal)
	}
	most := w.configuration.Services[r.service].MaxConnections
	for _, e := range g.view.Endpoints(r.service) {
		free := most == 0 || g.running[e.ID] < max(most/len(g.balancer.Membership.Members()), 1)
		if g.view.CanTakeWork(e) && free && e.ColdUntil <= w.now && !slices.Contains(r.tried, e.ID) {
			w.fail("nothing is refused while places are free", "%s refused though %s is free", g.name, e.ID)
		}
	}
}

// checkCold counts what a cold endpoint got in the last second, from all gateways.
func (w *gatewayWorld) checkCold(id model.EndpointID, t *truth) {
	const overshoot, slack = 1.5, 5
	n := 0
	for _, at := range t.arrivals {
		if w.now-at < timekeeper.Second {
			n++
		}
	}
	if most := w.configuration.Services[t.service].MaxColdRequestsPerSecond*overshoot + slack; float64(n) > most {
		w.fail("a cold endpoint gets what it can bear", "%s got %d requests in a second, most %.0f", id, n, most)
	}
}

// checkBudgets holds the repeats of every window against the requests of that window, the one before or the one half a
// window before.
func (w *gatewayWorld) checkBudgets() {
	span := w.site.terms.Window
	for id, t := range w.traffic {
		for from := timekeeper.Millis(0); from < w.now; from += span / 8 {
			requests := max(within(t.requests, from, span), within(t.requests, from-span/2, span), within(t.requests, from-span, span))
			most := w.site.terms.Ratio*float64(requests) + w.site.terms.Slack
			if n := within(t.repeats, from, span); float64(n) > most {
				w.fail("retry budget", "%d repeats for %s in the window from %d ms, most %.1f", n, id, from, most)
			}
		}
	}
}

// within counts the events of a span.
func within(events []timekeeper.Millis, from, span timekeeper.Millis) int {
	n := 0
	for _, at := range events {
		if at >= from && at < from+span {
			n++
		}
	}

	return n
}
