package prioritizer

import (
	"math"
	"slices"

	"cardamompulley/fleet/timekeeper"
)

// waitCheckInterval is how often a gateway looks for requests that have waited for longer than their target.
const waitCheckInterval = 100 * timekeeper.Millis(1)

// serviceState is what a gateway tracks for one service.
type serviceState struct {
	isShort bool
	window  *tokenWindow
	shares  fairShares
	debts   accountDebts
	// continued holds what accounts have sent in continuations beyond their share.
	continued  accountDebts
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

// standing returns the standing of a request and its account's share of the tokens in percent. Requests without an account share nothing that
// could be divided. Engines look at the levels of requests that wait: one with room serves what is beyond a share at once, which lends it
// what others leave idle, and one that fills up has the requests of the others first without being told.
func (s *serviceState) standing(r Request, now timekeeper.Millis) (st standing, sharePercent int) {
	if s.shares.span == 0 || now-s.shares.computedAt >= min(shareInterval, (now-s.window.startedAt)/youngShareDivisor) {
		s.shares = newFairShares(s.window, now)
	}
	if s.isShort {
		s.window.generations[0].wasShort = true
	}
	sent := s.window.sent(r.Account)
	sharePercent = int(math.Round(100 * min(sent/max(s.shares.total, 1), 1)))
	if r.Account == "" {
		return withinShare, sharePercent
	}
	slack := s.shares.slack
	if slack == 0 {
		slack = slackRequests * r.Tokens
	}
	rate := s.shares.rate(s.window.usual.rate(r.Account))
	switch {
	case s.debts.take(r.Account, r.Tokens, rate, slack, now) || r.IsContinuation && s.continued.take(r.Account, r.Tokens, rate, slack, now):
		return withinShare, sharePercent
	case sent <= s.shares.grown(s.window.usual.accounts[r.Account]):
		return beyondShare, sharePercent
	default:
		return beyondUsual, sharePercent
	}
}
