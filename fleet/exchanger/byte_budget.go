package exchanger

import "cardamompulley/fleet/timekeeper"

// ByteBudget is a token bucket that limits the control traffic of a process. Overspending delays the next exchange.
type ByteBudget struct {
	// MaxDebt bounds by how many bytes the budget can be overspent; zero means no bound.
	MaxDebt int

	bytesPerSecond float64
	burst          float64
	tokens         float64
	lastRefill     timekeeper.Millis
}

// NewByteBudget returns a full budget with a refill rate in bytes per second and a burst size in bytes.
func NewByteBudget(bytesPerSecond int, burst int, now timekeeper.Millis) *ByteBudget {
	return &ByteBudget{bytesPerSecond: float64(bytesPerSecond), burst: float64(burst), tokens: float64(burst), lastRefill: now}
}

// Spend takes the bytes sent or received in an exchange. The balance may become negative, since the size of an exchange
// is known only afterwards.
func (b *ByteBudget) Spend(bytes int, now timekeeper.Millis) {
	b.refill(now)
	b.tokens -= float64(bytes)
	if b.MaxDebt > 0 {
		b.tokens = max(b.tokens, -float64(b.MaxDebt))
	}
}

// CanSpend reports whether the next exchange may start.
func (b *ByteBudget) CanSpend(now timekeeper.Millis) bool {
	return b.Left(now) > 0
}

// Left returns the balance in bytes, which is negative after overspending.
func (b *ByteBudget) Left(now timekeeper.Millis) float64 {
	b.refill(now)

	return b.tokens
}

func (b *ByteBudget) refill(now timekeeper.Millis) {
	if now <= b.lastRefill {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.bytesPerSecond*float64(now-b.lastRefill)/float64(timekeeper.Second))
	b.lastRefill = now
}
