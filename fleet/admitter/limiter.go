package admitter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// minLimit is the limit at the beginning of a cold start and the lower bound of the adaptive limit.
	minLimit = 1.0
	// coldIncrease is added to the limit by each request that meets the targets in a cold start.
	coldIncrease = 0.5
	// increase and decrease are the steps of the adaptive limit.
	increase = 1.0
	decrease = 0.8
	// A latency of coldLatencyFactor times the baseline is slow; coldSampleCount slow samples in a row mean a cold
	// start.
	coldLatencyFactor = 4
	coldSampleCount   = 2
	// baselineSmoothing and outlierSmoothing are the weights of normal and of slow samples in a baseline.
	baselineSmoothing = 0.1
	outlierSmoothing  = 0.02
	// The initial baseline of the token gap is at most its target divided by tokenGapCapDivisor. The initial baseline of the
	// time to the first token is at most its target divided by coldLatencyFactor.
	tokenGapCapDivisor = 2
	defaultMaxRunning  = 64
	// minFirstToken and minTokenGap are the lowest latencies in the baselines, so that small absolute differences do not
	// count as slow.
	minFirstToken = 20 * timekeeper.Millis(1)
	minTokenGap   = 5 * timekeeper.Millis(1)
	// maxShortPrefill is the number of uncached tokens up to which the time to the first token shows a cold start.
	maxShortPrefill = 256
)

// Sample holds the figures of one finished request: the time to its first token, the time between tokens and the service
// time.
type Sample struct {
	// UncachedTokens is the number of prompt tokens that missed the prefix cache. A long prefill says nothing about a
	// cold start.
	UncachedTokens model.Tokens
	FirstToken     timekeeper.Millis
	TokenGap       timekeeper.Millis
	ServiceTime    timekeeper.Millis
	HasFailed      bool
}

// LatencyTargets are the latencies above which the concurrency limit decreases; zero means no target.
type LatencyTargets struct {
	FirstToken timekeeper.Millis
	TokenGap   timekeeper.Millis
}

// Limiter adapts the concurrency limit of an endpoint to its latencies with additive increase and multiplicative
// decrease. In a cold start the limit grows from one with each request that finishes within the targets.
type Limiter struct {
	maxRunning           float64
	targets              LatencyTargets
	adaptiveLimit        float64
	coldLimit            float64
	isCold               bool
	firstToken           baseline
	tokenGap             baseline
	slowSamples          int
	samplesSinceDecrease int
}

// NewLimiter returns a limiter of an endpoint in its cold start. The limit never exceeds maxRunning; zero means the
// default.
func NewLimiter(maxRunning int, targets LatencyTargets) *Limiter {
	if maxRunning == 0 {
		maxRunning = defaultMaxRunning
	}

	return &Limiter{
		maxRunning:    float64(maxRunning),
		targets:       targets,
		adaptiveLimit: float64(maxRunning),
		coldLimit:     minLimit,
		isCold:        true,
	}
}

// SetMaxRunning sets a new declared maximum of running requests and resets the adaptive limit to it; zero means the
// default. An unchanged maximum has no effect.
func (l *Limiter) SetMaxRunning(maxRunning int) {
	if maxRunning == 0 {
		maxRunning = defaultMaxRunning
	}
	if float64(maxRunning) == l.maxRunning {
		return
	}
	l.maxRunning = float64(maxRunning)
	l.adaptiveLimit = l.maxRunning
}

// Limit returns the number of requests that may run at the same time.
func (l *Limiter) Limit() int {
	if l.isCold {
		return int(min(l.coldLimit, l.adaptiveLimit, l.maxRunning))
	}

	return int(min(l.adaptiveLimit, l.maxRunning))
}

// IsCold reports whether the endpoint is in its cold start.
func (l *Limiter) IsCold() bool {
	return l.isCold
}

// EnterColdStart restarts the cold start.
func (l *Limiter) EnterColdStart() {
	l.isCold = true
	l.coldLimit = minLimit
	l.slowSamples = 0
}

// Observe updates the limit from a finished request. A failed request decreases it.
func (l *Limiter) Observe(s Sample) {
	if s.HasFailed {
		l.decreaseLimit()

		return
	}
	if l.detectColdStart(s) {
		l.EnterColdStart()

		return
	}
	if l.isCold {
		l.increaseColdLimit(s)

		return
	}
	l.adjustLimit(s)
}

func (l *Limiter) increaseColdLimit(s Sample) {
	if l.exceedsTargets(s) {
		return
	}
	l.coldLimit += coldIncrease
	if l.coldLimit >= l.adaptiveLimit {
		l.isCold = false
	}
}

// adjustLimit decreases the limit at most once in as many samples as requests may run.
func (l *Limiter) adjustLimit(s Sample) {
	l.samplesSinceDecrease++
	if l.exceedsTargets(s) {
		if l.samplesSinceDecrease >= int(l.adaptiveLimit) {
			l.decreaseLimit()
		}

		return
	}
	l.adaptiveLimit = min(l.maxRunning, l.adaptiveLimit+increase/l.adaptiveLimit)
}

func (l *Limiter) decreaseLimit() {
	l.adaptiveLimit = max(minLimit, l.adaptiveLimit*decrease)
	l.samplesSinceDecrease = 0
}

func (l *Limiter) exceedsTargets(s Sample) bool {
	isFirstTokenSlow := l.targets.FirstToken > 0 && s.FirstToken > l.targets.FirstToken
	isTokenGapSlow := l.targets.TokenGap > 0 && s.TokenGap > l.targets.TokenGap

	return isFirstTokenSlow || isTokenGapSlow
}

// detectColdStart compares a sample with the latency baselines of the endpoint, so that it also detects a cold start
// that the endpoint did not report.
func (l *Limiter) detectColdStart(s Sample) bool {
	isSlow := false
	if s.UncachedTokens <= maxShortPrefill {
		isSlow = l.firstToken.observe(s.FirstToken, minFirstToken, l.targets.FirstToken/coldLatencyFactor)
	}
	if s.TokenGap > 0 {
		isSlow = l.tokenGap.observe(s.TokenGap, minTokenGap, l.targets.TokenGap/tokenGapCapDivisor) || isSlow
	}
	if l.isCold && s.UncachedTokens <= maxShortPrefill && l.exceedsTargets(s) {
		// A cold start leaves little history for the baselines, so exceeding the targets counts as slow too.
		isSlow = true
	}
	if !isSlow {
		l.slowSamples = 0

		return false
	}
	l.slowSamples++

	return l.slowSamples >= coldSampleCount
}

// baseline is the moving average of a latency.
type baseline struct {
	mean float64
}

// observe adds a latency to the baseline and reports whether it was far above it. Such an outlier gets a small weight.
// Latencies below minLatency count as minLatency. A positive maxInitial caps the first value, so that an endpoint that
// starts slow does not get a high baseline.
func (b *baseline) observe(observed, minLatency, maxInitial timekeeper.Millis) bool {
	latency := float64(max(observed, minLatency))
	if b.mean == 0 {
		b.mean = latency
		if maxInitial > 0 {
			b.mean = min(latency, float64(maxInitial))
		}
	}
	if latency >= coldLatencyFactor*b.mean {
		b.mean += outlierSmoothing * (latency - b.mean)

		return true
	}
	b.mean += baselineSmoothing * (latency - b.mean)

	return false
}
