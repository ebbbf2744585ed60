package admitter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Priority is the priority of a request; lower values run first.
type Priority int

// Priorities, with their wire values.
const (
	PriorityInteractive Priority = 0
	PriorityNormal      Priority = 1
	PriorityBatch       Priority = 2
)

// AgingStep is the waiting time that raises the priority of a request by one, so that batch requests are not starved.
const AgingStep = 5 * timekeeper.Second

// Ticket identifies a queued request.
type Ticket uint64

// Request is a request to be admitted. A zero Deadline means none, a zero ExpectedDuration that it is not known.
type Request struct {
	Ticket           Ticket
	Account          model.AccountID
	Priority         Priority
	Deadline         timekeeper.Millis
	ExpectedDuration timekeeper.Millis

	queuedAt timekeeper.Millis
}

// fairQueue runs, within a priority, the next request of the account that has been served least, so that a surge of one
// account delays only its own requests.
type fairQueue struct {
	accounts map[model.AccountID]*accountQueue
	length   int
	// virtualTime is the served count from which an account starts when it joins the queue, so that an idle account
	// gains no credit.
	virtualTime float64
}

// accountQueue holds the waiting requests of one account.
type accountQueue struct {
	requests []Request
	served   float64
}

func newFairQueue() fairQueue {
	return fairQueue{accounts: map[model.AccountID]*accountQueue{}}
}

func (q *fairQueue) push(r Request) {
	a, ok := q.accounts[r.Account]
	if !ok {
		a = &accountQueue{served: q.virtualTime}
		q.accounts[r.Account] = a
	}
	a.requests = append(a.requests, r)
	q.length++
}

// countAhead returns the number of waiting requests that would run before a new one. Accounts take turns, so each other
// account counts with at most one request more than the own account has waiting.
func (q *fairQueue) countAhead(account model.AccountID, p Priority, now timekeeper.Millis) int {
	count := 0
	own := 0
	if a, ok := q.accounts[account]; ok {
		own = len(a.requests)
	}
	for id, a := range q.accounts {
		ahead := 0
		for i := range a.requests {
			if effectivePriority(&a.requests[i], now) <= p {
				ahead++
			}
		}
		if id == account {
			count += ahead
		} else {
			count += min(ahead, own+1)
		}
	}

	return count
}

// effectivePriority is the priority of a request raised by its waiting time.
func effectivePriority(r *Request, now timekeeper.Millis) Priority {
	return r.Priority - Priority((now-r.queuedAt)/AgingStep)
}

func (q *fairQueue) pop(now timekeeper.Millis) (Request, bool) {
	var best *accountQueue
	var bestAccount model.AccountID
	bestIndex := 0
	for account, a := range q.accounts {
		index := a.nextIndex(now)
		if best == nil || runsBefore(a, index, account, best, bestIndex, bestAccount, now) {
			best, bestIndex, bestAccount = a, index, account
		}
	}
	if best == nil {
		return Request{}, false
	}
	next := best.requests[bestIndex]
	best.served++
	q.virtualTime = max(q.virtualTime, best.served-1)
	q.removeAt(bestAccount, best, bestIndex)

	return next, true
}

// runsBefore compares the next requests of two accounts by priority, then by requests served, then by account ID.
func runsBefore(
	a *accountQueue, aIndex int, aID model.AccountID, b *accountQueue, bIndex int, bID model.AccountID, now timekeeper.Millis,
) bool {
	pa, pb := effectivePriority(&a.requests[aIndex], now), effectivePriority(&b.requests[bIndex], now)
	if pa != pb {
		return pa < pb
	}
	if a.served != b.served {
		return a.served < b.served
	}

	return aID < bID
}

// nextIndex returns the index of the request of the account that runs next.
func (a *accountQueue) nextIndex(now timekeeper.Millis) int {
	best := 0
	for i := 1; i < len(a.requests); i++ {
		if effectivePriority(&a.requests[i], now) < effectivePriority(&a.requests[best], now) {
			best = i
		}
	}

	return best
}

func (q *fairQueue) removeAt(account model.AccountID, a *accountQueue, index int) {
	a.requests = append(a.requests[:index], a.requests[index+1:]...)
	q.length--
	if len(a.requests) == 0 {
		delete(q.accounts, account)
	}
}

func (q *fairQueue) removeIf(shouldRemove func(*Request) bool) []Request {
	var removed []Request
	for account, a := range q.accounts {
		for i := len(a.requests) - 1; i >= 0; i-- {
			if shouldRemove(&a.requests[i]) {
				removed = append(removed, a.requests[i])
				q.removeAt(account, a, i)
			}
		}
	}

	return removed
}
