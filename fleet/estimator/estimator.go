package estimator

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// endpointState is what is known of a process of an endpoint.
type endpointState struct {
	figure figure
	// latestRatio is the slowdown inferred from the newest answer, 0 if there was none.
	latestRatio float64
	// busyUntil is when the work is done that this gateway has sent there.
	busyUntil timekeeper.Millis
}

// Estimator forecasts the times of answers. It is not safe for concurrent use.
type Estimator struct {
	services  map[model.ServiceID]*serviceModel
	endpoints map[model.EndpointProcess]*endpointState
	memory    memory
}

// NewEstimator returns an estimator that has learnt nothing.
func NewEstimator() *Estimator {
	return &Estimator{
		services:  map[model.ServiceID]*serviceModel{},
		endpoints: map[model.EndpointProcess]*endpointState{},
		memory:    memory{millis: initialMemory},
	}
}

// Expectation is the forecast for a request at an endpoint.
type Expectation struct {
	// First is the time until the first event; it counts only if IsKnown is true.
	First   timekeeper.Millis
	IsKnown bool
	// Work is the part of First for which the endpoint works on the prompt, which holds up the other requests there.
	Work timekeeper.Millis
	// usual is First at an endpoint that works as fast as usual.
	usual float64
}

// Expect forecasts a request that is sent to an endpoint now.
func (e *Estimator) Expect(service model.ServiceID, p model.EndpointProcess, w Work, now timekeeper.Millis) Expectation {
	m, ok := e.services[service]
	if !ok || !m.hasLearnt() {
		return Expectation{}
	}
	work := m.workTime(w)
	slowdown, queued := 1.0, timekeeper.Millis(0)
	if s, ok := e.endpoints[p]; ok {
		slowdown, queued = e.memory.at(s.figure, now), max(s.busyUntil-now, 0)
	}
	usual := m.fixed + work

	return Expectation{First: toMillis(slowdown*usual) + queued, IsKnown: true, Work: toMillis(slowdown * work), usual: usual + float64(queued)}
}

// RecordStart records that a request for which x was expected is sent to an endpoint. An endpoint does one work after the other.
func (e *Estimator) RecordStart(p model.EndpointProcess, x Expectation, now timekeeper.Millis) {
	s := e.state(p)
	s.busyUntil = max(s.busyUntil, now) + x.Work
}

// RecordNotBegun takes back what RecordStart has recorded for a request that has ended before its endpoint has begun to answer: the endpoint
// has refused it, or does not work on it any more.
func (e *Estimator) RecordNotBegun(p model.EndpointProcess, x Expectation) {
	if s, ok := e.endpoints[p]; ok {
		s.busyUntil -= x.Work
	}
}

// Answer is the first event of an answer.
type Answer struct {
	Service  model.ServiceID
	Endpoint model.EndpointProcess
	Work     Work
	Expected Expectation
	// Took is the time since the request was sent.
	Took timekeeper.Millis
	// Slowdown is the one that the endpoint has told, 0 if none.
	Slowdown float64
}

// RecordFirst learns from the first event of an answer. If the endpoint tells no slowdown, it is inferred from the time that the answer took.
func (e *Estimator) RecordFirst(a Answer, now timekeeper.Millis) {
	m, ok := e.services[a.Service]
	if !ok {
		m = &serviceModel{}
		e.services[a.Service] = m
	}
	usual := float64(a.Took)
	if a.Slowdown > 0 {
		usual /= a.Slowdown
	}
	m.learn(a.Work, usual)
	slowdown := a.Slowdown
	if a.Expected.IsKnown {
		// The endpoint has not worked on the prompt for longer than the answer took.
		e.state(a.Endpoint).busyUntil -= max(a.Expected.Work-a.Took, 0)
		m.recordError(float64(a.Expected.First), float64(a.Took))
		if slowdown == 0 {
			slowdown = e.inferSlowdown(a)
		}
	}
	if slowdown > 0 {
		e.recordFigure(a.Endpoint, slowdown, now)
	}
}

// inferSlowdown returns the slowdown that the newest two answers of an endpoint have in common, 0 if there is only one: a lost packet makes
// one answer late, but seldom two in a row.
func (e *Estimator) inferSlowdown(a Answer) float64 {
	s := e.state(a.Endpoint)
	ratio := float64(a.Took) / max(a.Expected.usual, 1)
	both := min(ratio, s.latestRatio)
	s.latestRatio = ratio
	if both == 0 {
		return 0
	}

	return min(max(both, minRatio), maxRatio)
}

func (e *Estimator) recordFigure(p model.EndpointProcess, slowdown float64, now timekeeper.Millis) {
	s := e.state(p)
	f := figure{slowdown: slowdown, at: now}
	if s.figure.slowdown > 0 {
		e.memory.learn(s.figure, f)
	}
	s.figure = f
}

// Error returns the mean relative error of the forecasts for a service, and false if there was none.
func (e *Estimator) Error(service model.ServiceID) (float64, bool) {
	m, ok := e.services[service]
	if !ok {
		return 0, false
	}

	return m.meanError, m.hasError
}

// Prune forgets the endpoints that are not known any more.
func (e *Estimator) Prune(isKnown func(model.EndpointProcess) bool) {
	for p := range e.endpoints {
		if !isKnown(p) {
			delete(e.endpoints, p)
		}
	}
}

func (e *Estimator) state(p model.EndpointProcess) *endpointState {
	s, ok := e.endpoints[p]
	if !ok {
		s = &endpointState{}
		e.endpoints[p] = s
	}

	return s
}
