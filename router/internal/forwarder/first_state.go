package forwarder

import (
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	// maxStartupWait is how long after the start of the process requests wait for its first configuration and endpoints.
	maxStartupWait = 300 * timekeeper.Millis(1)
	// maxArrivingWait replaces maxStartupWait once a part of the state is there: the rest is likely to take as long again.
	maxArrivingWait = 2 * maxStartupWait
	// maxForeseenWait is the time since the start from which it does not tell any more when the first state comes: a store that has no
	// configuration answers, and a gateway without others asks nobody in vain.
	maxForeseenWait = 2 * maxArrivingWait
	// startupWaitDivisor limits the wait for a state that arrives to the caller's time divided by it.
	startupWaitDivisor = 8
	// startupCheckInterval is how often a request that waits looks whether waiting has become pointless.
	startupCheckInterval = 20 * timekeeper.Millis(1)
)

// StateOutlook is what is known of the way to the first configuration and list of endpoints.
type StateOutlook int

const (
	// OutlookOpen means that the store and other gateways are being asked.
	OutlookOpen StateOutlook = iota
	// OutlookArriving means that a part of the state is there and the rest has been asked for.
	OutlookArriving
	// OutlookAway means that the store and other gateways are known not to give the state now.
	OutlookAway
)

// waitForState delays a request that arrives just after the start of the process until the first state has been loaded, so that it need
// not be refused. Once the state is known not to come soon, it returns at once.
func (p *proxiedRequest) waitForState() {
	f := p.forwarder
	select {
	case <-f.StateReady:
		return
	default:
	}
	ticker := time.NewTicker(startupCheckInterval.Duration())
	defer ticker.Stop()
	for p.mayWaitForState(f.StateOutlook()) {
		select {
		case <-f.StateReady:
			return
		case <-ticker.C:
		case <-p.request.Context().Done():
			return
		}
	}
}

// mayWaitForState reports whether the request may wait longer for the first state.
func (p *proxiedRequest) mayWaitForState(o StateOutlook) bool {
	now := p.forwarder.clock.Now()
	sinceStart := now - p.forwarder.startedAt
	switch {
	case o == OutlookAway:
		return false
	case sinceStart < maxStartupWait:
		return true
	default:
		return o == OutlookArriving && sinceStart < maxArrivingWait && now-p.arrivedAt < p.metadata.Timeout/startupWaitDivisor
	}
}

// notReadyRefusal returns the refusal of a request that arrives before a configuration is known. While one may come soon, the process
// has waited for it since its start, and is likely to wait as long again. After maxForeseenWait nothing tells any more when it comes.
func (p *proxiedRequest) notReadyRefusal() *model.Refusal {
	p.lacksState = true
	refusal := model.NewRefusal(model.CodeNotReady, "no configuration is known yet")
	sinceStart := p.forwarder.clock.Now() - p.forwarder.startedAt
	if p.forwarder.StateOutlook() == OutlookAway || sinceStart >= maxForeseenWait {
		return refusal.AsUnforeseen()
	}

	return refusal.WithRetryAfter(max(sinceStart, 1))
}
