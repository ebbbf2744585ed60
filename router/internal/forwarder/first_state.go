package forwarder

import (
	"context"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// maxStartupWait is how long after the start of the process requests wait for its first configuration and endpoints.
	maxStartupWait = 300 * timekeeper.Millis(1)
	// startupCheckInterval is how often a request that waits looks whether waiting has become pointless.
	startupCheckInterval = 20 * timekeeper.Millis(1)
)

// waitForState delays requests that arrive just after the start of the process until its first state has been loaded, so
// that they need not be refused. Once the state is known not to come soon, it returns at once.
func (f *Forwarder) waitForState(ctx context.Context) {
	ticker := time.NewTicker(startupCheckInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-f.StateReady:
			return
		default:
		}
		if f.clock.Now()-f.startedAt >= maxStartupWait || !f.IsStateComing() {
			return
		}
		select {
		case <-f.StateReady:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// notReadyRefusal returns the refusal of a request that arrives before a configuration is known. While one may come soon, the process
// has waited for it since its start, and is likely to wait as long again.
func (p *proxiedRequest) notReadyRefusal() *model.Refusal {
	p.lacksState = true
	refusal := model.NewRefusal(model.CodeNotReady, "no configuration is known yet")
	if !p.forwarder.IsStateComing() {
		return refusal.AsUnforeseen()
	}

	return refusal.WithRetryAfter(max(p.forwarder.clock.Now()-p.forwarder.startedAt, 1))
}
