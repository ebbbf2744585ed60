package prover

import (
	"fmt"

	"cardamompulley/fleet/admitter"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// AdmissionVariant disables mechanisms of the admission control. The zero value is the product as it is.
type AdmissionVariant struct {
	// IgnoresColdStart ends every cold start at the first finished request.
	IgnoresColdStart bool
	// IgnoresLoadBound admits new requests without regard to the load bound.
	IgnoresLoadBound bool
	// IgnoresUnannouncedColdStart hides the slow responses that reveal a cold start.
	IgnoresUnannouncedColdStart bool
}

const (
	admissionSteps     = 300
	declaredMaxRunning = 16
	accountCount       = 4
	normalFirstToken   = 40 * timekeeper.Millis(1)
	coldFirstToken     = 900 * timekeeper.Millis(1)
	// slowResponsesToDetect is the number of slow responses after which the limiter detects an unannounced cold start.
	slowResponsesToDetect = 2
	maxTimeToDeadline     = 30 * timekeeper.Second
)

// latencyTargets are the defaults of a sidecar's settings.
var latencyTargets = admitter.LatencyTargets{FirstToken: 610, TokenGap: 57}

// fakeEngine is a model engine. A cold engine can run one request at a time, plus one for every two that have finished
// since.
type fakeEngine struct {
	isCold        bool
	finishedCount int
	// slowResponseCount counts the slow responses since an unannounced cold start, up to slowResponsesToDetect. It is -1 before
	// the first one, and 0 if the last cold start was announced.
	slowResponseCount int
}

// capacity returns the number of requests that the engine can run at a time.
func (e *fakeEngine) capacity() int {
	if !e.isCold {
		return declaredMaxRunning
	}

	return 1 + e.finishedCount/2
}

// admissionSimulation simulates the admission control of one endpoint.
type admissionSimulation struct {
	choose           Chooser
	variant          AdmissionVariant
	now              timekeeper.Millis
	admitter         *admitter.Admitter
	engine           fakeEngine
	loadBound        int
	lastTicket       admitter.Ticket
	running          int
	waitingDeadlines map[admitter.Ticket]timekeeper.Millis
	history          []string
	violation        *Violation
}

// RunAdmissionSimulation checks that no request starts beyond the load bound or the capacity of a cold engine, and that none
// starts or waits after its deadline.
func RunAdmissionSimulation(c Chooser, variant AdmissionVariant) *Violation {
	s := &admissionSimulation{
		choose: c, variant: variant, loadBound: 4, waitingDeadlines: map[admitter.Ticket]timekeeper.Millis{},
		admitter: admitter.NewAdmitter(admitter.NewLimiter(declaredMaxRunning, latencyTargets)),
		engine:   fakeEngine{isCold: true},
	}
	for range admissionSteps {
		s.step()
		if s.violation != nil {
			s.violation.History = s.history

			return s.violation
		}
	}

	return nil
}

func (s *admissionSimulation) log(format string, arguments ...any) {
	s.history = append(s.history, fmt.Sprintf("%d ", s.now)+fmt.Sprintf(format, arguments...))
}

func (s *admissionSimulation) recordViolation(property, format string, arguments ...any) {
	if s.violation == nil {
		s.violation = &Violation{Property: property, Detail: fmt.Sprintf(format, arguments...)}
	}
}

func (s *admissionSimulation) step() {
	s.now += s.choose.duration(200)
	switch s.choose(10) {
	case 0:
		s.loadBound = 2 + s.choose(declaredMaxRunning)
	case 1:
		s.injectFault()
	case 2, 3, 4, 5:
		for range 1 + s.choose(3) {
			s.sendRequest()
		}
	default:
		s.finishRequest()
	}
	s.expireWaiting()
}

// injectFault may restart the engine, which the sidecar's prober detects, or make it cold unannounced.
func (s *admissionSimulation) injectFault() {
	if !s.choose.oneIn(4) {
		return
	}
	s.engine = fakeEngine{isCold: true}
	if s.choose.oneIn(2) {
		for range s.running {
			s.admitter.Finish(admitter.Sample{HasFailed: true})
		}
		s.running = 0
		s.admitter.Limiter.EnterColdStart()
		s.log("engine restarts")

		return
	}
	s.log("engine becomes cold unannounced")
	s.engine.slowResponseCount = -1
}

func (s *admissionSimulation) sendRequest() {
	s.lastTicket++
	request := admitter.Request{
		Ticket: s.lastTicket, Account: model.AccountID(fmt.Sprint(s.choose(accountCount))),
		Priority: admitter.Priority(s.choose(3)), Deadline: s.now + s.choose.duration(maxTimeToDeadline),
	}
	bound := s.loadBound
	if s.variant.IgnoresLoadBound {
		bound = 1 << 20
	}
	switch s.admitter.Admit(request, bound, s.now).Action {
	case admitter.ActionRun:
		s.recordStart(request)
	case admitter.ActionWait:
		s.waitingDeadlines[request.Ticket] = request.Deadline
	default:
	}
}

// recordStart records that a request starts and checks the load bound, the capacity of the engine and the deadline. The
// limiter cannot respect the capacity in a cold start that it has not detected yet.
func (s *admissionSimulation) recordStart(request admitter.Request) {
	s.running++
	delete(s.waitingDeadlines, request.Ticket)
	s.log("start of %d, %d running", request.Ticket, s.running)
	if s.running > s.loadBound {
		s.recordViolation("load bound", "%d running, over the bound of %d", s.running, s.loadBound)
	}
	isColdStartKnown := s.engine.slowResponseCount == 0 || s.engine.slowResponseCount >= slowResponsesToDetect
	if isColdStartKnown && s.running > s.engine.capacity() {
		s.recordViolation("cold endpoint", "%d running, the engine can run %d", s.running, s.engine.capacity())
	}
	if request.Deadline < s.now {
		s.recordViolation("deadline", "%d started %d ms after its deadline", request.Ticket, s.now-request.Deadline)
	}
}

// finishRequest ends one running request and starts the waiting requests that are admitted then. An engine in an undetected
// cold start answers slowly; in a detected one, its capacity grows as requests finish.
func (s *admissionSimulation) finishRequest() {
	if s.running == 0 {
		return
	}
	s.running--
	sample := admitter.Sample{FirstToken: normalFirstToken, ServiceTime: timekeeper.Second}
	if s.engine.slowResponseCount != 0 && s.engine.slowResponseCount < slowResponsesToDetect {
		sample.FirstToken = coldFirstToken
		s.engine.slowResponseCount = max(s.engine.slowResponseCount, 0) + 1
	} else if s.engine.isCold {
		s.engine.finishedCount++
		s.engine.isCold = s.engine.capacity() < declaredMaxRunning
	}
	if s.variant.IgnoresUnannouncedColdStart {
		sample.FirstToken = normalFirstToken
	}
	s.admitter.Finish(sample)
	if s.variant.IgnoresColdStart {
		for s.admitter.Limiter.IsCold() {
			s.admitter.Limiter.Observe(admitter.Sample{FirstToken: normalFirstToken})
		}
	}
	s.expireWaiting()
	for {
		request, hasNext := s.admitter.Next(s.loadBound, s.now)
		if !hasNext {
			return
		}
		s.recordStart(request)
	}
}

// expireWaiting removes expired requests from the queue and checks that none waits past its deadline.
func (s *admissionSimulation) expireWaiting() {
	for _, request := range s.admitter.Expire(s.now) {
		delete(s.waitingDeadlines, request.Ticket)
	}
	for ticket, deadline := range s.waitingDeadlines {
		if deadline < s.now {
			s.recordViolation("refused at once", "%d still waits %d ms after its deadline", ticket, s.now-deadline)
		}
	}
}
