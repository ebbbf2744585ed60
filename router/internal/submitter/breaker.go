package submitter

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
)

// blockedEndpoints returns the load-table indexes of the endpoints that circuit breakers block, or nil if there are none.
func (s *Submitter) blockedEndpoints(snapshot *configurator.Snapshot) map[int]bool {
	now := s.follower.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var blocked map[int]bool
	for id, b := range s.breakers {
		if !b.IsBlocked(now) {
			continue
		}
		if blocked == nil {
			blocked = map[int]bool{}
		}
		blocked[snapshot.IndexOf(id)] = true
	}

	return blocked
}

// recordAttempt records the start of an attempt in the circuit breaker of an endpoint.
func (s *Submitter) recordAttempt(id model.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.breakers[id]; ok {
		b.RecordAttempt(s.follower.Clock.Now())
	}
}

// recordSuccess closes the circuit breaker of an endpoint that has responded.
func (s *Submitter) recordSuccess(id model.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.breakers[id]; ok {
		b.RecordSuccess()
	}
}

// recordFailure opens the circuit breaker of an endpoint that could not be reached.
func (s *Submitter) recordFailure(id model.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.breakers[id]
	if !ok {
		b = &retrier.Breaker{}
		s.breakers[id] = b
	}
	b.RecordFailure(s.follower.Clock.Now())
}
