package queuer

import (
	"maps"

	"cardamompulley/fleet/model"
)

// Charge counts a request that has started without waiting towards the share of its account.
func (q *Queue) Charge(r *Request) {
	start := q.joinsAt(r.Account)
	if a, ok := q.accounts[r.Account]; ok {
		start = a.served
		a.served += r.cost()
	} else {
		q.keep(r.Account, start+r.cost())
	}
	q.virtualTime = max(q.virtualTime, start)
}

// joinsAt returns the served cost from which an account without waiting requests starts.
func (q *Queue) joinsAt(account model.AccountID) float64 {
	return max(q.virtualTime, q.ahead[account])
}

// keep records what an account without waiting requests has been served, and forgets the accounts with which others have caught up.
func (q *Queue) keep(account model.AccountID, served float64) {
	if !q.KeepsShares {
		return
	}
	if served > q.virtualTime {
		q.ahead[account] = served
	} else {
		delete(q.ahead, account)
	}
	if q.virtualTime > q.sweptAt {
		q.sweptAt = q.virtualTime
		maps.DeleteFunc(q.ahead, func(_ model.AccountID, served float64) bool { return served <= q.virtualTime })
	}
}

// IsAhead reports whether an account has been served more than one that joins the queue now, so that requests of others will start
// before its next one.
func (q *Queue) IsAhead(account model.AccountID) bool {
	if a, ok := q.accounts[account]; ok {
		return len(a.requests) > 0
	}

	return q.ahead[account] > q.virtualTime
}
