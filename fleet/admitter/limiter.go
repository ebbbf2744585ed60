package admitter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	coldStart        = 1.0
	coldGain         = 0.5
	increase         = 1.0
	decrease         = 0.8
	recoldFactor     = 4
	recoldSamples    = 2
	baselineShare    = 0.1
	slowShare        = 0.02
	gapCapShare      = 2
	defaultMax       = 64
	minBaselineFirst = 20 * timekeeper.Millis(1)
	minBaselineGap   = 5 * timekeeper.Millis(1)
	shortPrefill     = 256
)

// Sample is what one finished request tells of its endpoint.
type Sample struct {
	// Uncached is how many prompt tokens were not in the cache; long prefills say nothing of a cold start.
	Uncached   model.Tokens
	FirstToken timekeeper.Millis
	TokenGap   timekeeper.Millis
	Service    timekeeper.Millis
	Failed     bool
}

// Targets are the latencies above which the limit falls.
type Targets struct {
	FirstToken timekeeper.Millis
	TokenGap   timekeeper.Millis
}

// Limiter learns how many requests an endpoint can run at once.
type Limiter struct {
	declared  float64
	targets   Targets
	learnt    float64
	allowed   float64
	cold      bool
	first     baseline
	gap       baseline
	slow      int
	sinceDrop int
}

// NewLimiter returns a limiter of a cold endpoint that may never run more than the declared number.
func NewLimiter(declared int, targets Targets) *Limiter {
	if declared == 0 {
		declared = defaultMax
	}

	return &Limiter{
		declared: float64(declared),
		targets:  targets,
		learnt:   float64(declared),
		allowed:  coldStart,
		cold:     true,
	}
}

// Declare takes on a newly declared maximum; zero means the default.
func (l *Limiter) Declare(declared int) {
	if declared == 0 {
		declared = defaultMax
	}
	if float64(declared) == l.declared {
		return
	}
	l.declared = float64(declared)
	l.learnt = l.declared
}

// Limit returns how many requests may run now.
func (l *Limiter) Limit() int {
	if l.cold {
		return int(min(l.allowed, l.learnt, l.declared))
	}

	return int(min(l.learnt, l.declared))
}

// Cold tells whether the endpoint is still in its cold start.
func (l *Limiter) Cold() bool {
	return l.cold
}

// TurnCold starts the cold start again.
func (l *Limiter) TurnCold() {
	l.cold = true
	l.allowed = coldStart
	l.slow = 0
}

// Observe learns from a finished request.
func (l *Limiter) Observe(s Sample) {
	if s.Failed {
		l.shrink()

		return
	}
	if l.detectCold(s) {
		l.TurnCold()

		return
	}
	if l.cold {
		l.grow(s)

		return
	}
	l.adapt(s)
}

func (l *Limiter) grow(s Sample) {
	if l.over(s) {
		return
	}
	l.allowed += coldGain
	if l.allowed >= l.learnt {
		l.cold = false
	}
}

func (l *Limiter) adapt(s Sample) {
	l.sinceDrop++
	if l.over(s) {
		if l.sinceDrop >= int(l.learnt) {
			l.shrink()
		}

		return
	}
	l.learnt = min(l.declared, l.learnt+increase/l.learnt)
}

func (l *Limiter) shrink() {
	l.learnt = max(coldStart, l.learnt*decrease)
	l.sinceDrop = 0
}

func (l *Limiter) over(s Sample) bool {
	firstOver := l.targets.FirstToken > 0 && s.FirstToken > l.targets.FirstToken
	gapOver := l.targets.TokenGap > 0 && s.TokenGap > l.targets.TokenGap

	return firstOver || gapOver
}

// detectCold compares with the endpoint's own history, so it also sees a cold start that nobody announced.
func (l *Limiter) detectCold(s Sample) bool {
	slow := false
	if s.Uncached <= shortPrefill {
		slow = l.first.judge(s.FirstToken, minBaselineFirst, l.targets.FirstToken/recoldFactor)
	}
	if s.TokenGap > 0 {
		slow = l.gap.judge(s.TokenGap, minBaselineGap, l.targets.TokenGap/gapCapShare) || slow
	}
	if l.cold && s.Uncached <= shortPrefill && l.over(s) {
		// During a cold start there is little history to compare with, so the targets decide as well.
		slow = true
	}
	if !slow {
		l.slow = 0

		return false
	}
	l.slow++

	return l.slow >= recoldSamples
}

// baseline is what a latency usually is.
type baseline struct {
	usual float64
}

// judge tells whether a latency is far over the usual one; such a latency moves the baseline only a little, and the first
// is taken for usual only up to a most, where that is not zero.
func (b *baseline) judge(seen, least, most timekeeper.Millis) bool {
	latency := float64(max(seen, least))
	if b.usual == 0 {
		b.usual = latency
		if most > 0 {
			b.usual = min(latency, float64(most))
		}
	}
	if latency >= recoldFactor*b.usual {
		b.usual += slowShare * (latency - b.usual)

		return true
	}
	b.usual += baselineShare * (latency - b.usual)

	return false
}
