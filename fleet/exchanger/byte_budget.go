package exchanger

import "cardamompulley/fleet/timekeeper"

// ByteBudget is a token bucket that limits the control traffic of a process. Overspending delays the next exchange.
type ByteBudget struct {
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
}

// CanSpend reports whether the next exchange may start.
func (b *ByteBudget) CanSpend(now timekeeper.Millis) bool {
	b.refill(now)

	return b.tokens > 0
}

func (b *ByteBudget) refill(now timekeeper.Millis) {
	if now <= b.lastRefill {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.bytesPerSecond*float64(now-b.lastRefill)/float64(timekeeper.Second))
	b.lastRefill = now
}
