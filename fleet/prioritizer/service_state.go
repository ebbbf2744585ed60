package prioritizer

import (
	"math"
	"slices"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// waitCheckInterval is how often a gateway looks for requests that have waited for longer than their target.
const waitCheckInterval = 100 * timekeeper.Millis(1)

// serviceState is what a gateway tracks for one service.
type serviceState struct {
	isShort    bool
	window     *tokenWindow
	shares     fairShares
	debts      accountDebts
	priorities map[Priority]*priorityState
	// waiting holds the requests that no engine has begun to answer. Those of checkedAt that were late are removed.
	waiting    []*waitingRequest
	checkedAt  timekeeper.Millis
	lastUsedAt timekeeper.Millis
}

// priorityState is what a gateway tracks for the requests of one priority.
type priorityState struct {
	rotation rotation
	shortage shortage
}

// waitingRequest is a request that should be answered by dueAt. It is done once it has been observed, or has ended.
type waitingRequest struct {
	priority Priority
	dueAt    timekeeper.Millis
	isDone   bool
}

// priority returns the state of a priority.
func (s *serviceState) priority(p Priority) *priorityState {
	state, ok := s.priorities[p]
	if !ok {
		state = &priorityState{}
		s.priorities[p] = state
	}

	return state
}

// wait adds a request to those that wait for an answer, and returns nil if it has no target.
func (s *serviceState) wait(r Request, now timekeeper.Millis) *waitingRequest {
	if r.Target <= 0 {
		return nil
	}
	w := &waitingRequest{priority: r.Priority, dueAt: now + r.Target}
	s.waiting = append(s.waiting, w)

	return w
}

// checkWaiting observes the requests that have waited for longer than their target. Without it, a priority that gets no answers at all
// would not be seen.
func (s *serviceState) checkWaiting(now timekeeper.Millis) {
	if now-s.checkedAt < waitCheckInterval {
		return
	}
	s.checkedAt = now
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waitingRequest) bool {
		if !w.isDone && now > w.dueAt {
			w.isDone = true
			s.priority(w.priority).shortage.observe(true, now)
		}

		return w.isDone
	})
}

// band returns the band of a request and its account's share of the tokens in percent. Requests without an account share nothing that
// could be divided.
func (s *serviceState) band(r Request, now timekeeper.Millis) (band, sharePercent int) {
	if now-s.shares.computedAt >= shareInterval {
		s.shares = newFairShares(s.window, now)
	}
	if s.isShort {
		s.window.generations[0].wasShort = true
	}
	sent := s.window.sent(r.Account)
	sharePercent = int(math.Round(100 * min(sent/max(s.shares.total, 1), 1)))
	if r.Account == "" {
		return 0, sharePercent
	}
	allowed := s.allowed(r.Account, sent)
	isWithin := s.debts.take(r.Account, r.Tokens, s.shares.rate(allowed), s.shares.slack, now)
	switch {
	case isWithin || r.IsContinuation:
		return 0, sharePercent
	case sent <= farOver*allowed:
		return 1, sharePercent
	default:
		return 2, sharePercent
	}
}

// allowed returns the tokens that an account may send within the window. While the service is not short, only what is far beyond the
// account's usual and much of the traffic is too much: engines with room serve it at once all the same, and what waits when they become
// short is in order.
func (s *serviceState) allowed(id model.AccountID, sent float64) float64 {
	usual := s.window.usual.accounts[id]
	if s.isShort {
		return s.shares.of(usual)
	}
	if usual == 0 || sent <= dominantShare*s.shares.total {
		return math.Inf(1)
	}

	return farOver * s.shares.grown(usual)
}
