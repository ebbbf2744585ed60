package retrier

import "cardamompulley/fleet/timekeeper"

const (
	firstBlock = 500 * timekeeper.Millis(1)
	maxBlock   = 8 * timekeeper.Second
)

// Breaker keeps a process from an endpoint that it cannot reach; one probe at a time tries it again.
type Breaker struct {
	until   timekeeper.Millis
	span    timekeeper.Millis
	probing bool
}

// Blocked tells whether the endpoint is not to be tried now.
func (b *Breaker) Blocked(now timekeeper.Millis) bool {
	return b.span > 0 && (now < b.until || b.probing)
}

// Closed tells whether nothing speaks against the endpoint.
func (b *Breaker) Closed() bool {
	return b.span == 0
}

// Due tells whether a block is over and no probe is out.
func (b *Breaker) Due(now timekeeper.Millis) bool {
	return b.span > 0 && now >= b.until && !b.probing
}

// Start notes an attempt; after a block it is the one probe.
func (b *Breaker) Start(now timekeeper.Millis) {
	if b.span > 0 && now >= b.until {
		b.probing = true
	}
}

// Succeed closes the breaker.
func (b *Breaker) Succeed() {
	*b = Breaker{}
}

// Fail blocks the endpoint, longer after each failed probe.
func (b *Breaker) Fail(now timekeeper.Millis) {
	if b.span == 0 {
		b.span = firstBlock
	} else if b.probing {
		b.span = min(2*b.span, maxBlock)
	}
	b.probing = false
	b.until = now + b.span
}
