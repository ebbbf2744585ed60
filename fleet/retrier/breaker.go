package retrier

import "cardamompulley/fleet/timekeeper"

const (
	initialBlock = 500 * timekeeper.Millis(1)
	maxBlock     = 8 * timekeeper.Second
)

// Breaker is a circuit breaker for one endpoint. After a failure it blocks the endpoint for a period that doubles with
// each failed probe, then lets one probe at a time through. The zero value is closed.
type Breaker struct {
	blockedUntil  timekeeper.Millis
	blockDuration timekeeper.Millis
	isProbing     bool
}

// IsBlocked reports whether the endpoint must not be tried now.
func (b *Breaker) IsBlocked(now timekeeper.Millis) bool {
	return b.blockDuration > 0 && (now < b.blockedUntil || b.isProbing)
}

// IsClosed reports whether no attempt has failed since the last success.
func (b *Breaker) IsClosed() bool {
	return b.blockDuration == 0
}

// IsProbeDue reports whether the blocking period is over and no probe is in flight.
func (b *Breaker) IsProbeDue(now timekeeper.Millis) bool {
	return b.blockDuration > 0 && now >= b.blockedUntil && !b.isProbing
}

// RecordAttempt records the start of an attempt. The first attempt after the blocking period is the probe.
func (b *Breaker) RecordAttempt(now timekeeper.Millis) {
	if b.blockDuration > 0 && now >= b.blockedUntil {
		b.isProbing = true
	}
}

// RecordSuccess closes the breaker.
func (b *Breaker) RecordSuccess() {
	*b = Breaker{}
}

// RecordFailure blocks the endpoint, for twice as long as before if a probe failed, up to maxBlock.
func (b *Breaker) RecordFailure(now timekeeper.Millis) {
	if b.blockDuration == 0 {
		b.blockDuration = initialBlock
	} else if b.isProbing {
		b.blockDuration = min(2*b.blockDuration, maxBlock)
	}
	b.isProbing = false
	b.blockedUntil = now + b.blockDuration
}
