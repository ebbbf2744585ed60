package prover

import (
	"fmt"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// AdmitVariant weakens admission, to show that the schedules find what it is for.
type AdmitVariant struct {
	IgnoresCold    bool
	IgnoresBound   bool
	LearnsNoRecold bool
}

const (
	admitSteps    = 300
	admitDeclared = 16
	admitAccounts = 4
	usualFirst    = 40 * timekeeper.Millis(1)
	coldFirst     = 900 * timekeeper.Millis(1)
	slowAnswers   = 2
	admitGrace    = 30 * timekeeper.Second
)

// admitTargets are the defaults of a sidecar's settings.
var admitTargets = admitter.LatencyTargets{FirstToken: 610, TokenGap: 57}

// fakeEngine bears one request when it turns cold, and half a request more for each that it finishes.
type fakeEngine struct {
	cold     bool
	finished int
	slowSeen int
}

func (e *fakeEngine) bears() int {
	if !e.cold {
		return admitDeclared
	}

	return 1 + e.finished/2
}

type admitWorld struct {
	choose   Chooser
	variant  AdmitVariant
	now      timekeeper.Millis
	admitter *admitter.Admitter
	engine   fakeEngine
	bound    int
	ticket   admitter.Ticket
	running  int
	waiting  map[admitter.Ticket]timekeeper.Millis
	history  []string
	failed   *Violation
}

// RunAdmitSchedule tries to overrun a cold endpoint or the load bound, or to keep a request past its deadline.
func RunAdmitSchedule(c Chooser, variant AdmitVariant) *Violation {
	w := &admitWorld{
		choose: c, variant: variant, bound: 4, waiting: map[admitter.Ticket]timekeeper.Millis{},
		admitter: admitter.NewAdmitter(admitter.NewLimiter(admitDeclared, admitTargets)),
		engine:   fakeEngine{cold: true},
	}
	for range admitSteps {
		w.step()
		if w.failed != nil {
			w.failed.History = w.history

			return w.failed
		}
	}

	return nil
}

func (w *admitWorld) log(format string, arguments ...any) {
	w.history = append(w.history, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, arguments...))
}

func (w *admitWorld) fail(promise, format string, arguments ...any) {
	if w.failed == nil {
		w.failed = &Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...)}
	}
}

func (w *admitWorld) step() {
	w.now += w.choose.span(200)
	switch w.choose(10) {
	case 0:
		w.bound = 2 + w.choose(admitDeclared)
	case 1:
		w.fault()
	case 2, 3, 4, 5:
		for range 1 + w.choose(3) {
			w.offer()
		}
	default:
		w.finish()
	}
	w.expire()
}

// fault restarts the engine, seen by the prober, or turns it cold without notice.
func (w *admitWorld) fault() {
	if !w.choose.chance(4) {
		return
	}
	w.engine = fakeEngine{cold: true}
	if w.choose.chance(2) {
		for range w.running {
			w.admitter.Finish(admitter.Sample{HasFailed: true})
		}
		w.running = 0
		w.admitter.Limiter.EnterColdStart()
		w.log("engine restarts")

		return
	}
	w.log("engine turns cold without notice")
	w.engine.slowSeen = -1
}

func (w *admitWorld) offer() {
	w.ticket++
	item := admitter.Request{
		Ticket: w.ticket, Account: model.AccountID(fmt.Sprint(w.choose(admitAccounts))),
		Priority: admitter.Priority(w.choose(3)), Deadline: w.now + w.choose.span(admitGrace),
	}
	bound := w.bound
	if w.variant.IgnoresBound {
		bound = 1 << 20
	}
	switch w.admitter.Admit(item, bound, w.now).Action {
	case admitter.ActionRun:
		w.started(item)
	case admitter.ActionWait:
		w.waiting[item.Ticket] = item.Deadline
	default:
	}
}

func (w *admitWorld) started(item admitter.Request) {
	w.running++
	delete(w.waiting, item.Ticket)
	w.log("start of %d, %d running", item.Ticket, w.running)
	if w.running > w.bound {
		w.fail("load bound", "%d running over a bound of %d", w.running, w.bound)
	}
	known := w.engine.slowSeen == 0 || w.engine.slowSeen >= slowAnswers
	if known && w.running > w.engine.bears() {
		w.fail("cold endpoint", "%d running, the engine bears %d", w.running, w.engine.bears())
	}
	if item.Deadline < w.now {
		w.fail("deadline", "%d started %d ms late", item.Ticket, w.now-item.Deadline)
	}
}

// finish ends one running request; a cold engine answers slowly and grows with each answer.
func (w *admitWorld) finish() {
	if w.running == 0 {
		return
	}
	w.running--
	s := admitter.Sample{FirstToken: usualFirst, ServiceTime: timekeeper.Second}
	if w.engine.slowSeen != 0 && w.engine.slowSeen < slowAnswers {
		s.FirstToken = coldFirst
		w.engine.slowSeen = max(w.engine.slowSeen, 0) + 1
	} else if w.engine.cold {
		w.engine.finished++
		w.engine.cold = w.engine.bears() < admitDeclared
	}
	if w.variant.LearnsNoRecold {
		s.FirstToken = usualFirst
	}
	w.admitter.Finish(s)
	if w.variant.IgnoresCold {
		for w.admitter.Limiter.IsCold() {
			w.admitter.Limiter.Observe(admitter.Sample{FirstToken: usualFirst})
		}
	}
	w.expire()
	for {
		item, ok := w.admitter.Next(w.bound, w.now)
		if !ok {
			return
		}
		w.started(item)
	}
}

func (w *admitWorld) expire() {
	for _, item := range w.admitter.Expire(w.now) {
		delete(w.waiting, item.Ticket)
	}
	for ticket, deadline := range w.waiting {
		if deadline < w.now {
			w.fail("refused at once", "%d still waits %d ms after its deadline", ticket, w.now-deadline)
		}
	}
}
