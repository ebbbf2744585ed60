package admitter

import (
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Priority orders work: lower runs first.
type Priority int

// The priorities.
const (
	PriorityInteractive Priority = 0
	PriorityNormal      Priority = 1
	PriorityBatch       Priority = 2
)

// AgeStep is the wait that lifts a request by one priority.
const AgeStep = 5 * timekeeper.Second

// Ticket identifies a waiting request.
type Ticket uint64

// Item is a request as the admitter sees it.
type Item struct {
	Ticket   Ticket
	Account  model.AccountID
	Priority Priority
	Deadline timekeeper.Millis
	Expected timekeeper.Millis

	queued timekeeper.Millis
}

// fairQueue serves accounts by the work that each has been given, so a surge waits behind its own kind.
type fairQueue struct {
	accounts map[model.AccountID]*line
	length   int
	virtual  float64
}

type line struct {
	items  []Item
	served float64
}

func newFairQueue() fairQueue {
	return fairQueue{accounts: map[model.AccountID]*line{}}
}

func (q *fairQueue) push(item Item) {
	l, ok := q.accounts[item.Account]
	if !ok {
		l = &line{served: q.virtual}
		q.accounts[item.Account] = l
	}
	l.items = append(l.items, item)
	q.length++
}

// ahead returns how many waiting items would run before a new one of an account and priority.
func (q *fairQueue) ahead(account model.AccountID, p Priority, now timekeeper.Millis) int {
	count := 0
	own := 0
	if l, ok := q.accounts[account]; ok {
		own = len(l.items)
	}
	for id, l := range q.accounts {
		sooner := 0
		for i := range l.items {
			if effective(&l.items[i], now) <= p {
				sooner++
			}
		}
		if id == account {
			count += sooner
		} else {
			count += min(sooner, own+1)
		}
	}

	return count
}

func effective(item *Item, now timekeeper.Millis) Priority {
	return item.Priority - Priority((now-item.queued)/AgeStep)
}

func (q *fairQueue) pop(now timekeeper.Millis) (Item, bool) {
	var best *line
	var bestAccount model.AccountID
	bestAt := 0
	for account, l := range q.accounts {
		at := l.first(now)
		if best == nil || sooner(l, at, account, best, bestAt, bestAccount, now) {
			best, bestAt, bestAccount = l, at, account
		}
	}
	if best == nil {
		return Item{}, false
	}
	item := best.items[bestAt]
	best.served++
	q.virtual = max(q.virtual, best.served-1)
	q.removeAt(bestAccount, best, bestAt)

	return item, true
}

func sooner(a *line, aAt int, aID model.AccountID, b *line, bAt int, bID model.AccountID, now timekeeper.Millis) bool {
	pa, pb := effective(&a.items[aAt], now), effective(&b.items[bAt], now)
	if pa != pb {
		return pa < pb
	}
	if a.served != b.served {
		return a.served < b.served
	}

	return aID < bID
}

// first returns the place of the item that runs next within one account.
func (l *line) first(now timekeeper.Millis) int {
	best := 0
	for i := 1; i < len(l.items); i++ {
		if effective(&l.items[i], now) < effective(&l.items[best], now) {
			best = i
		}
	}

	return best
}

func (q *fairQueue) removeAt(account model.AccountID, l *line, at int) {
	l.items = append(l.items[:at], l.items[at+1:]...)
	q.length--
	if len(l.items) == 0 {
		delete(q.accounts, account)
	}
}

func (q *fairQueue) removeIf(drop func(*Item) bool) []Item {
	var dropped []Item
	for account, l := range q.accounts {
		for i := len(l.items) - 1; i >= 0; i-- {
			if drop(&l.items[i]) {
				dropped = append(dropped, l.items[i])
				q.removeAt(account, l, i)
			}
		}
	}

	return dropped
}
