package gateway

import (
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/forwarder"
)

const (
	// startFailures is the number of calls to the store in a row that must fail before it is taken to be away: the answer to one may be lost.
	startFailures = 2
	// maxStartBackoff is the longest mean pause between calls to the store while all callers are refused for want of a configuration, as long
	// as the store serves that many calls.
	maxStartBackoff = 200 * timekeeper.Millis(1)
)

// firstState is what is known of the way to the first view.
type firstState struct {
	// storeFailures is the number of calls to the store that have failed since one succeeded.
	storeFailures int
	// hasAskedInVain is true once another gateway that was asked for copies has had none or has not answered.
	hasAskedInVain bool
}

// stateOutlook returns what is known of the way to the first view. It does not come soon while the store is known to be away and another
// gateway has had no copy.
func (g *Gateway) stateOutlook() forwarder.StateOutlook {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.view.Load() != nil:
		return forwarder.OutlookOpen
	case g.firstState.storeFailures >= startFailures && g.firstState.hasAskedInVain:
		return forwarder.OutlookAway
	case g.firstState.storeFailures == 0 && g.decoded.configuration != nil:
		return forwarder.OutlookArriving
	default:
		return forwarder.OutlookOpen
	}
}

// recordCopyAsked records the end of an exchange in which copies were asked for.
func (g *Gateway) recordCopyAsked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Load() == nil {
		g.firstState.hasAskedInVain = true
	}
}

// storeBackoff returns the longest mean pause between calls to a store that fails. Without a view it is short, so that callers are served
// soon after the store is back; all gateways that are known then use at most rereadShare of the calls that the store serves, unless a pause
// of maxBackoff is too short for that.
func (g *Gateway) storeBackoff() timekeeper.Millis {
	if g.view.Load() != nil {
		return maxBackoff
	}

	return min(max(g.storeCallTime(1), maxStartBackoff), maxBackoff)
}
