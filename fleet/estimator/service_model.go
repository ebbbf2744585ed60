package estimator

import (
	"math"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// sampleCount is the number of newest answers of each kind that a model is learnt from. Medians bear with a third of them being odd.
	sampleCount = 96
	// minSamples is the number of answers of a kind without which nothing is forecast.
	minSamples = 12
	// refitInterval is the number of answers after which a model is learnt anew.
	refitInterval = 8
	// longWork is the number of tokens from which an answer tells the time of a token, shorter ones tell the time that each answer takes.
	longWork = 1000
	// fetchedPerRead is how many times as fast as usual a token is fetched than read, until answers have told.
	fetchedPerRead = 8
	// errorWeight is the weight of a new answer in the mean error of forecasts.
	errorWeight = 0.02
	// maxForecast is the longest time that is forecast: callers may state prompts of any length.
	maxForecast = timekeeper.Hour
)

// Work is what an endpoint has to do before the first event of an answer: the tokens of the prompt that it reads, and those that it fetches
// from another endpoint.
type Work struct {
	Read, Fetched model.Tokens
}

// samples holds the newest figures of one kind.
type samples struct {
	values []float64
	next   int
}

func (s *samples) add(value float64) {
	if len(s.values) < sampleCount {
		s.values = append(s.values, value)

		return
	}
	s.values[s.next] = value
	s.next = (s.next + 1) % sampleCount
}

func (s *samples) isEnough() bool { return len(s.values) >= minSamples }

func (s *samples) median() float64 {
	sorted := slices.Sorted(slices.Values(s.values))

	return sorted[len(sorted)/2]
}

// serviceModel is what has been learnt of the endpoints of a service, at their usual speed.
type serviceModel struct {
	// short are the times of answers with little work; read and fetched are the times for each token of answers with much.
	short, read, fetched samples
	answers              int
	// fixed is the time that every answer takes, perRead and perFetched that of a token.
	fixed, perRead, perFetched float64
	// meanError is the mean of the relative errors of forecasts.
	meanError float64
	hasError  bool
}

// learn takes in an answer that took a time at the usual speed.
func (m *serviceModel) learn(w Work, took float64) {
	switch {
	case w.Read < longWork && w.Fetched < longWork:
		m.short.add(took)
	case w.Read >= longWork && w.Fetched < longWork:
		m.read.add(max(took-m.fixed, 0) / float64(w.Read))
	case w.Fetched >= longWork:
		m.fetched.add(max(took-m.fixed-m.perRead*float64(w.Read), 0) / float64(w.Fetched))
	}
	m.answers++
	if m.answers%refitInterval == 0 {
		m.fit()
	}
}

func (m *serviceModel) fit() {
	if m.short.isEnough() {
		m.fixed = m.short.median()
	}
	if m.read.isEnough() {
		m.perRead = m.read.median()
	}
	m.perFetched = m.perRead / fetchedPerRead
	if m.fetched.isEnough() {
		m.perFetched = m.fetched.median()
	}
}

// hasLearnt reports whether the model can forecast.
func (m *serviceModel) hasLearnt() bool { return m.fixed > 0 && m.perRead > 0 }

// workTime returns the time that work takes at the usual speed, without what every answer takes.
func (m *serviceModel) workTime(w Work) float64 {
	return m.perRead*float64(w.Read) + m.perFetched*float64(w.Fetched)
}

// recordError takes in how far a forecast was from the time that an answer took.
func (m *serviceModel) recordError(forecast, took float64) {
	relative := min(math.Abs(took-forecast)/max(took, 1), 1)
	if !m.hasError {
		m.meanError, m.hasError = relative, true

		return
	}
	m.meanError += errorWeight * (relative - m.meanError)
}

// toMillis rounds a time to whole milliseconds, maxForecast at most.
func toMillis(ms float64) timekeeper.Millis {
	return timekeeper.Millis(min(ms+0.5, float64(maxForecast)))
}
