package queuer

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Queue hands out, among the requests of one priority, the next one of the account that has been served least, so that a surge of one
// account delays only its own requests.
type Queue struct {
	// AgingStep is the waiting time that raises the priority of a request by one; zero means that it never rises.
	AgingStep timekeeper.Millis
	// KeepsShares is true if an account that has nothing waiting keeps what it has been served until the others have caught up.
	KeepsShares bool

	accounts map[model.AccountID]*accountQueue
	length   int
	// virtualTime is the served cost from which an account starts when it joins the queue, so that an idle account
	// gains no credit.
	virtualTime float64
	// ahead holds what accounts without waiting requests have been served, if that is more than the virtual time was at sweptAt.
	ahead   map[model.AccountID]float64
	sweptAt float64
}

// accountQueue holds the waiting requests of one account.
type accountQueue struct {
	requests []Request
	served   float64
}

// rank is the place of a request before fair shares are considered; lower ones go first.
type rank struct {
	isLate   bool
	priority Priority
}

// NewQueue returns an empty queue in which the priority of a request rises by one in each agingStep.
func NewQueue(agingStep timekeeper.Millis) *Queue {
	return &Queue{AgingStep: agingStep, accounts: map[model.AccountID]*accountQueue{}, ahead: map[model.AccountID]float64{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.length
}

// Push adds a request to the queue.
func (q *Queue) Push(r Request) {
	a, ok := q.accounts[r.Account]
	if !ok {
		a = &accountQueue{served: q.joinsAt(r.Account)}
		q.accounts[r.Account] = a
		delete(q.ahead, r.Account)
	}
	a.requests = append(a.requests, r)
	q.length++
}

// rank returns the rank of a request, whose priority is raised by its waiting time.
func (q *Queue) rank(r *Request, now timekeeper.Millis) rank {
	result := rank{isLate: r.IsLate(now), priority: r.Priority}
	if q.AgingStep > 0 {
		result.priority -= Priority((now - r.QueuedAt) / q.AgingStep)
	}

	return result
}

func (x rank) isBefore(y rank) bool {
	if x.isLate != y.isLate {
		return y.isLate
	}

	return x.priority < y.priority
}

// Pop removes the next request.
func (q *Queue) Pop(now timekeeper.Millis) (Request, bool) {
	return q.PopWhere(now, func(*Request) bool { return true })
}

// PopWhere removes the next one of the requests that match.
func (q *Queue) PopWhere(now timekeeper.Millis, matches func(*Request) bool) (Request, bool) {
	var best *accountQueue
	var bestAccount model.AccountID
	bestIndex := 0
	for account, a := range q.accounts {
		index := q.nextIndex(a, now, matches)
		if index >= 0 && (best == nil || q.runsBefore(a, index, account, best, bestIndex, bestAccount, now)) {
			best, bestIndex, bestAccount = a, index, account
		}
	}
	if best == nil {
		return Request{}, false
	}
	next := best.requests[bestIndex]
	q.virtualTime = max(q.virtualTime, best.served)
	best.served += next.cost()
	q.removeAt(bestAccount, best, bestIndex)

	return next, true
}

// runsBefore compares the next requests of two accounts by rank, then by the cost served, then by account ID.
func (q *Queue) runsBefore(
	a *accountQueue, aIndex int, aID model.AccountID, b *accountQueue, bIndex int, bID model.AccountID, now timekeeper.Millis,
) bool {
	ra, rb := q.rank(&a.requests[aIndex], now), q.rank(&b.requests[bIndex], now)
	if ra != rb {
		return ra.isBefore(rb)
	}
	if a.served != b.served {
		return a.served < b.served
	}

	return aID < bID
}

// nextIndex returns the index of the matching request of an account that runs next, the longest waiting one of the best rank, or -1.
func (q *Queue) nextIndex(a *accountQueue, now timekeeper.Millis, matches func(*Request) bool) int {
	best := -1
	for i := range a.requests {
		if !matches(&a.requests[i]) {
			continue
		}
		if best < 0 || q.isAhead(&a.requests[i], &a.requests[best], now) {
			best = i
		}
	}

	return best
}

// isAhead compares two requests of one account.
func (q *Queue) isAhead(x, y *Request, now timekeeper.Millis) bool {
	rx, ry := q.rank(x, now), q.rank(y, now)
	if rx != ry {
		return rx.isBefore(ry)
	}

	return x.QueuedAt < y.QueuedAt
}

func (q *Queue) removeAt(account model.AccountID, a *accountQueue, index int) {
	a.requests = append(a.requests[:index], a.requests[index+1:]...)
	q.length--
	if len(a.requests) == 0 {
		delete(q.accounts, account)
		q.keep(account, a.served)
	}
}

// RemoveIf removes and returns the waiting requests that match.
func (q *Queue) RemoveIf(shouldRemove func(*Request) bool) []Request {
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

// All calls visit with each waiting request, in no particular order.
func (q *Queue) All(visit func(*Request)) {
	for _, a := range q.accounts {
		for i := range a.requests {
			visit(&a.requests[i])
		}
	}
}

// TakeLongest removes the last request of the account that has the most waiting, if it has more than limit.
func (q *Queue) TakeLongest(limit int) (Request, bool) {
	var longest *accountQueue
	var account model.AccountID
	for id, a := range q.accounts {
		if longest == nil || len(a.requests) > len(longest.requests) || len(a.requests) == len(longest.requests) && id < account {
			longest, account = a, id
		}
	}
	if longest == nil || len(longest.requests) <= limit {
		return Request{}, false
	}
	last := longest.requests[len(longest.requests)-1]
	q.removeAt(account, longest, len(longest.requests)-1)

	return last, true
}

// Waiting returns how many requests of an account wait.
func (q *Queue) Waiting(account model.AccountID) int {
	if a, ok := q.accounts[account]; ok {
		return len(a.requests)
	}

	return 0
}
