package queuer

import (
	"math"

	"cardamompulley/fleet/timekeeper"
)

// CountAhead returns the number of waiting requests that would run before a new one. Accounts take turns, so each other
// account counts with at most one request more than the own account has waiting.
func (q *Queue) CountAhead(r *Request, now timekeeper.Millis) int {
	count := 0
	own := 0
	if a, ok := q.accounts[r.Account]; ok {
		own = len(a.requests)
	}
	newcomer := q.rank(r, now)
	for id, a := range q.accounts {
		ahead := 0
		for i := range a.requests {
			if !newcomer.isBefore(q.rank(&a.requests[i], now)) {
				ahead++
			}
		}
		if id == r.Account {
			count += ahead
		} else {
			count += min(ahead, own+1)
		}
	}

	return count
}

// CountBefore returns the number of waiting requests that start before a new one if no others come. In contrast to CountAhead it knows how
// much each account has been served.
func (q *Queue) CountBefore(r *Request, now timekeeper.Millis) int {
	newcomer := q.rank(r, now)
	own, served := 0, q.joinsAt(r.Account)
	if a, ok := q.accounts[r.Account]; ok {
		better, equal := q.countRanks(a, newcomer, now)
		own, served = better+equal, a.served
	}
	count := own
	for id, a := range q.accounts {
		if id == r.Account {
			continue
		}
		better, equal := q.countRanks(a, newcomer, now)
		turns := int(math.Ceil(served + float64(own) - a.served))
		if a.served+float64(turns) == served+float64(own) && id < r.Account {
			turns++
		}
		count += better + max(min(turns, equal), 0)
	}

	return count
}

// countRanks returns how many requests of an account have a better rank than a newcomer, and how many the same.
func (q *Queue) countRanks(a *accountQueue, newcomer rank, now timekeeper.Millis) (better, equal int) {
	for i := range a.requests {
		switch r := q.rank(&a.requests[i], now); {
		case r.isBefore(newcomer):
			better++
		case r == newcomer:
			equal++
		}
	}

	return better, equal
}
