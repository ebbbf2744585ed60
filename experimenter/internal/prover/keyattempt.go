package prover

import (
	"fmt"

	"cardamompulley/fleet/deduplicator"
	"cardamompulley/fleet/model"
)

// move takes an attempt through one stage at its sidecar.
func (w *keyWorld) move(a *keyAttempt) {
	if !a.node.up || (a.stage != "deliver" && a.incarnation != a.node.incarnation) {
		w.broken(a)

		return
	}
	switch a.stage {
	case "deliver":
		a.incarnation = a.node.incarnation
		w.follow(a, a.node.table.Begin(a.task.key, 1, w.homes(a.node), keyPolicy))
	case "ask":
		w.ask(a)
	case "touch":
		w.touch(a)
	case "finish":
		w.finishRun(a)
	}
}

func (w *keyWorld) homes(n *keyNode) []model.HomeGeneration {
	homes := w.versions[n.version]
	if w.variant.SkipsEarlierHomes {
		return homes[len(homes)-1:]
	}

	return homes
}

// broken is what a router makes of a connection that failed under an attempt.
func (w *keyWorld) broken(a *keyAttempt) {
	if w.variant.ClaimsNotRunOnError {
		w.respond(a, model.OutcomeNotRun, "")

		return
	}
	w.respond(a, model.OutcomeUnknown, "")
}

func (w *keyWorld) follow(a *keyAttempt, d deduplicator.Decision) {
	switch d.Action {
	case deduplicator.ActionRun:
		if w.choose.chance(6) {
			a.node.table.FinishNotRun(a.task.key)
			w.respond(a, model.OutcomeNotRun, "")

			return
		}
		a.stage = "touch"
	case deduplicator.ActionRequestRelease:
		a.stage = "ask"
		a.asked = d.EarlierHomes
		a.releases = nil
	case deduplicator.ActionWait:
		if w.choose.chance(3) {
			w.respond(a, model.OutcomeUnknown, "")
		}
	case deduplicator.ActionReplay:
		w.respond(a, model.OutcomeRan, string(d.Answer.Body))
	case deduplicator.ActionRefuse:
		w.respond(a, d.Refusal.Outcome, "")
	}
}

// ask asks one earlier home; the question, or only its answer, may be lost.
func (w *keyWorld) ask(a *keyAttempt) {
	if len(a.releases) < len(a.asked) {
		a.releases = append(a.releases, w.release(a, w.node(a.asked[len(a.releases)])))

		return
	}
	w.follow(a, a.node.table.Resolve(a.task.key, a.releases))
}

func (w *keyWorld) release(a *keyAttempt, earlier *keyNode) deduplicator.ReleaseResult {
	lost := deduplicator.ReleaseResult{State: deduplicator.ReleaseUnknown}
	if w.variant.TrustsUnreachable {
		lost = deduplicator.ReleaseResult{State: deduplicator.ReleaseNotRun}
	}
	if !earlier.up || w.choose.chance(5) {
		return lost
	}
	newest, _ := deduplicator.NewestGeneration(w.versions[a.node.version])
	r := earlier.table.Release(a.task.key, newest.Number, keyPolicy)
	w.log("%s asked by %s for attempt %d: %s", earlier.id, a.node.id, a.number, r.State)
	if w.choose.chance(5) {
		return lost
	}

	return r
}

// touch is the moment at which the endpoint sees the request.
func (w *keyWorld) touch(a *keyAttempt) {
	a.answer = fmt.Sprintf("answer-%d", a.number)
	a.task.runs = append(a.task.runs, a.answer)
	w.log("attempt %d runs on %s", a.number, a.node.id)
	if len(a.task.runs) > 1 {
		w.failed = &Violation{Promise: "at most once", Detail: fmt.Sprintf("%s ran %d times", a.task.key.Key, len(a.task.runs))}
	}
	a.stage = "finish"
}

func (w *keyWorld) finishRun(a *keyAttempt) {
	if w.choose.chance(5) {
		a.node.table.FinishUnknown(a.task.key)
		w.broken(a)

		return
	}
	a.node.table.FinishRan(a.task.key, deduplicator.Answer{Status: 201, Body: []byte(a.answer)})
	w.respond(a, model.OutcomeRan, a.answer)
}

func (w *keyWorld) respond(a *keyAttempt, o model.Outcome, answer string) {
	a.done = true
	w.log("attempt %d answered %s %s", a.number, o, answer)
	w.checker.responded(w.now, a, o, answer)
	if o == model.OutcomeNotRun && len(a.task.runs) > 0 {
		w.failed = &Violation{
			Promise: "not-run is true",
			Detail:  fmt.Sprintf("attempt %d of %s, which ran as %s", a.number, a.task.key.Key, a.task.runs[0]),
		}
	}
	if o == model.OutcomeRan && (len(a.task.runs) == 0 || a.task.runs[0] != answer) {
		w.failed = &Violation{Promise: "own answer", Detail: fmt.Sprintf("attempt %d got %s", a.number, answer)}
	}
}
