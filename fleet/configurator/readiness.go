package configurator

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	requiredPeersAtStart = 3
	maxStartWait         = 5 * timekeeper.Second
	// pauseThreshold is the gap between two ticks above which the process counts as paused.
	pauseThreshold    = 2 * timekeeper.Second
	maxWaitAfterPause = 2 * timekeeper.Second
	// noTick is the value of lastTick before the first tick.
	noTick timekeeper.Millis = -1
)

// ReadinessGate keeps a process from serving after a start or a long pause until its configuration is known to be current
// or a maximum wait has passed.
//
// After a start, it requires responses from three peers, or from all if fewer are known, and from the configuration service.
// After a pause, one peer is enough, or the configuration service if no peer is known.
type ReadinessGate struct {
	since              timekeeper.Millis
	maxWait            timekeeper.Millis
	lastTick           timekeeper.Millis
	requiredPeers      int
	answeredPeers      []string
	hasServiceAnswered bool
	isReady            bool
}

// NewReadinessGate returns a gate for a process that starts at the given time.
func NewReadinessGate(start timekeeper.Millis) ReadinessGate {
	return ReadinessGate{since: start, maxWait: maxStartWait, lastTick: noTick, requiredPeers: requiredPeersAtStart}
}

// RecordPeer records that a peer answered. If the peer's configuration was newer, it must be in force here by then.
func (g *ReadinessGate) RecordPeer(id string) {
	if !g.isReady && len(g.answeredPeers) < g.requiredPeers && !slices.Contains(g.answeredPeers, id) {
		g.answeredPeers = append(g.answeredPeers, id)
	}
}

// RecordService records that the configuration service answered.
func (g *ReadinessGate) RecordService() {
	g.hasServiceAnswered = true
}

// Tick must be called regularly. A gap of more than pauseThreshold between two calls means that the process was paused: the
// gate closes again or, if it has not opened yet, restarts its wait. The responses recorded so far are discarded.
func (g *ReadinessGate) Tick(now timekeeper.Millis) {
	gap := now - g.lastTick
	paused := g.lastTick != noTick && gap > pauseThreshold
	switch {
	case paused && g.isReady:
		*g = ReadinessGate{since: now, maxWait: maxWaitAfterPause, requiredPeers: 1}
	case paused:
		*g = ReadinessGate{since: now, maxWait: g.maxWait, requiredPeers: g.requiredPeers}
	}
	g.lastTick = now
}

// IsReady reports whether the required responses have arrived or the maximum wait has passed.
func (g *ReadinessGate) IsReady(now timekeeper.Millis, knownPeers int) bool {
	g.Tick(now)
	if g.isReady {
		return true
	}
	enough := len(g.answeredPeers) >= min(g.requiredPeers, knownPeers)
	if g.requiredPeers > 1 {
		enough = enough && g.hasServiceAnswered
	}
	if (enough && (g.hasServiceAnswered || len(g.answeredPeers) > 0)) || now-g.since >= g.maxWait {
		g.isReady = true
	}

	return g.isReady
}
