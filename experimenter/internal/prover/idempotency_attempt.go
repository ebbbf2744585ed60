package prover

import (
	"fmt"

	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/model"
)

// runStage runs the next stage of an attempt at its sidecar. The connection breaks if the sidecar is down or has restarted
// since the attempt arrived.
func (s *idempotencySimulation) runStage(a *keyedAttempt) {
	if !a.node.isUp || (a.stage != "deliver" && a.incarnation != a.node.incarnation) {
		s.respondConnectionFailed(a)

		return
	}
	switch a.stage {
	case "deliver":
		a.incarnation = a.node.incarnation
		s.applyDecision(a, a.node.deduplicator.Begin(a.request.key, 1, s.knownGenerations(a.node), idempotencyPolicy))
	case "ask":
		s.requestRelease(a)
	case "touch":
		s.reachEndpoint(a)
	case "finish":
		s.finishRequest(a)
	}
}

// knownGenerations returns the home generations in the configuration of a sidecar.
func (s *idempotencySimulation) knownGenerations(n *sidecarNode) []model.HomeGeneration {
	generations := s.versions[n.version]
	if s.variant.SkipsEarlierHomes {
		return generations[len(generations)-1:]
	}

	return generations
}

// respondConnectionFailed responds as a router does when the connection to the sidecar breaks.
func (s *idempotencySimulation) respondConnectionFailed(a *keyedAttempt) {
	if s.variant.ReportsNotRunOnError {
		s.respond(a, model.OutcomeNotRun, "")

		return
	}
	s.respond(a, model.OutcomeUnknown, "")
}

// applyDecision continues an attempt as decided by the deduplicator. Some requests to run fail before they reach the
// endpoint, and some waiting attempts give up.
func (s *idempotencySimulation) applyDecision(a *keyedAttempt, d deduplicator.Decision) {
	switch d.Action {
	case deduplicator.ActionRun:
		if s.choose.oneIn(6) {
			a.node.deduplicator.FinishNotRun(a.request.key)
			s.respond(a, model.OutcomeNotRun, "")

			return
		}
		a.stage = "touch"
	case deduplicator.ActionRequestRelease:
		a.stage = "ask"
		a.earlierHomes = d.EarlierHomes
		a.releases = nil
	case deduplicator.ActionWait:
		if s.choose.oneIn(3) {
			s.respond(a, model.OutcomeUnknown, "")
		}
	case deduplicator.ActionReplay:
		s.respond(a, model.OutcomeRan, string(d.Response.Body))
	case deduplicator.ActionRefuse:
		s.respond(a, d.Refusal.Outcome, "")
	}
}

// requestRelease asks the next earlier home to release the key. After the last one, it resolves the key with the results.
func (s *idempotencySimulation) requestRelease(a *keyedAttempt) {
	if len(a.releases) < len(a.earlierHomes) {
		a.releases = append(a.releases, s.requestReleaseFrom(a, s.node(a.earlierHomes[len(a.releases)])))

		return
	}
	s.applyDecision(a, a.node.deduplicator.Resolve(a.request.key, a.releases))
}

// requestReleaseFrom asks one earlier home to release the key. The request or only the response may be lost.
func (s *idempotencySimulation) requestReleaseFrom(a *keyedAttempt, earlier *sidecarNode) deduplicator.ReleaseResult {
	noResponse := deduplicator.ReleaseResult{State: deduplicator.ReleaseUnknown}
	if s.variant.TreatsUnreachableAsNotRun {
		noResponse = deduplicator.ReleaseResult{State: deduplicator.ReleaseNotRun}
	}
	if !earlier.isUp || s.choose.oneIn(5) {
		return noResponse
	}
	newest, _ := deduplicator.NewestGeneration(s.versions[a.node.version])
	result := earlier.deduplicator.Release(a.request.key, newest.Number, idempotencyPolicy)
	s.log("%s answers the release request of %s for attempt %d: %s", earlier.id, a.node.id, a.number, result.State)
	if s.choose.oneIn(5) {
		return noResponse
	}

	return result
}

// reachEndpoint delivers the request to the endpoint, which runs it.
func (s *idempotencySimulation) reachEndpoint(a *keyedAttempt) {
	a.response = fmt.Sprintf("answer-%d", a.number)
	a.request.responses = append(a.request.responses, a.response)
	s.log("attempt %d runs on %s", a.number, a.node.id)
	if len(a.request.responses) > 1 {
		s.violation = &Violation{
			Property: "at most once",
			Detail:   fmt.Sprintf("%s ran %d times", a.request.key.Key, len(a.request.responses)),
		}
	}
	a.stage = "finish"
}

// finishRequest ends the run of a request. The response of the endpoint may be lost.
func (s *idempotencySimulation) finishRequest(a *keyedAttempt) {
	if s.choose.oneIn(5) {
		a.node.deduplicator.FinishUnknown(a.request.key)
		s.respondConnectionFailed(a)

		return
	}
	a.node.deduplicator.FinishRan(a.request.key, deduplicator.StoredResponse{Status: 201, Body: []byte(a.response)})
	s.respond(a, model.OutcomeRan, a.response)
}

// respond ends an attempt with the response that its caller gets, and checks it against the runs of the key.
func (s *idempotencySimulation) respond(a *keyedAttempt, o model.Outcome, response string) {
	a.isDone = true
	s.log("attempt %d answered %s %s", a.number, o, response)
	s.checker.recordResponse(s.now, a, o, response)
	if o == model.OutcomeNotRun && len(a.request.responses) > 0 {
		s.violation = &Violation{
			Property: "not-run is true",
			Detail: fmt.Sprintf("attempt %d of %s got not-run, but the key ran with response %s",
				a.number, a.request.key.Key, a.request.responses[0]),
		}
	}
	if o == model.OutcomeRan && (len(a.request.responses) == 0 || a.request.responses[0] != response) {
		s.violation = &Violation{
			Property: "own response",
			Detail:   fmt.Sprintf("attempt %d got %s, which is not the response of the first run", a.number, response),
		}
	}
}
