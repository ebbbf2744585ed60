package configurator

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	startPeers                   = 3
	startWait                    = 5 * timekeeper.Second
	pauseLimit                   = 2 * timekeeper.Second
	wakeWait                     = 2 * timekeeper.Second
	never      timekeeper.Millis = -1
)

// Starter holds a process back after a start or a long pause until it has heard the news.
type Starter struct {
	since   timekeeper.Millis
	wait    timekeeper.Millis
	beat    timekeeper.Millis
	need    int
	heard   []string
	service bool
	ready   bool
}

// NewStarter returns a starter for a process that starts at the given instant.
func NewStarter(start timekeeper.Millis) Starter {
	return Starter{since: start, wait: startWait, beat: never, need: startPeers}
}

// HeardPeer notes that a peer answered and that its configuration, if it was newer, is in force here.
func (s *Starter) HeardPeer(id string) {
	if !s.ready && len(s.heard) < s.need && !slices.Contains(s.heard, id) {
		s.heard = append(s.heard, id)
	}
}

// HeardService notes that the configuration service answered.
func (s *Starter) HeardService() {
	s.service = true
}

// Beat is called regularly; a gap longer than the pause limit holds the process back again, or for longer.
func (s *Starter) Beat(now timekeeper.Millis) {
	gap := now - s.beat
	paused := s.beat != never && gap > pauseLimit
	switch {
	case paused && s.ready:
		*s = Starter{since: now, wait: wakeWait, need: 1}
	case paused:
		*s = Starter{since: now, wait: s.wait, need: s.need}
	}
	s.beat = now
}

// Ready tells whether the news has been heard or the bounded wait is over.
func (s *Starter) Ready(now timekeeper.Millis, peers int) bool {
	s.Beat(now)
	if s.ready {
		return true
	}
	enough := len(s.heard) >= min(s.need, peers)
	if s.need > 1 {
		enough = enough && s.service
	}
	if (enough && (s.service || len(s.heard) > 0)) || now-s.since >= s.wait {
		s.ready = true
	}

	return s.ready
}
