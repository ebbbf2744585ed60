package exchanger

import "cardamompulley/fleet/timekeeper"

// Budget bounds the control bytes of a process; spending over it delays the next exchange.
type Budget struct {
	perSecond float64
	burst     float64
	tokens    float64
	last      timekeeper.Millis
}

// NewBudget returns a full budget of bytes a second.
func NewBudget(perSecond int, burst int, now timekeeper.Millis) *Budget {
	return &Budget{perSecond: float64(perSecond), burst: float64(burst), tokens: float64(burst), last: now}
}

// Spend takes bytes that have crossed the connection; the budget may go below zero.
func (b *Budget) Spend(bytes int, now timekeeper.Millis) {
	b.refill(now)
	b.tokens -= float64(bytes)
}

// Allows tells whether the next exchange may start now.
func (b *Budget) Allows(now timekeeper.Millis) bool {
	b.refill(now)

	return b.tokens > 0
}

func (b *Budget) refill(now timekeeper.Millis) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.perSecond*float64(now-b.last)/float64(timekeeper.Second))
	b.last = now
}
