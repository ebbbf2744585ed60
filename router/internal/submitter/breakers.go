package submitter

import (
	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
)

// blocked returns the indexes of the endpoints that this router holds for unreachable, nil when there are none.
func (s *Submitter) blocked(known *configurator.Snapshot) map[int]bool {
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
		blocked[known.IndexOf(id)] = true
	}

	return blocked
}

// startBreaker notes an attempt at an endpoint.
func (s *Submitter) startBreaker(id model.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, failed := s.breakers[id]; failed {
		b.RecordAttempt(s.follower.Clock.Now())
	}
}

// closeBreaker forgets the failures of an endpoint that has answered.
func (s *Submitter) closeBreaker(id model.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, failed := s.breakers[id]; failed {
		b.RecordSuccess()
	}
}

// failBreaker blocks an endpoint that could not be reached.
func (s *Submitter) failBreaker(id model.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, failed := s.breakers[id]
	if !failed {
		b = &retrier.Breaker{}
		s.breakers[id] = b
	}
	b.RecordFailure(s.follower.Clock.Now())
}
