package queuer

import (
	"strconv"
	"testing"

	"cardamompulley/fleet/model"
)

const manyAccounts = 48_000

// chargeInTurn charges one request to each of many accounts, so that none gets ahead of the others before the next turn.
func chargeInTurn(q *Queue, ids []model.AccountID) {
	for _, id := range ids {
		q.Charge(&Request{Account: id})
	}
}

func newAccounts() []model.AccountID {
	ids := make([]model.AccountID, manyAccounts)
	for i := range ids {
		ids[i] = model.AccountID(strconv.Itoa(i))
	}

	return ids
}

// A queue forgets accounts once the others have caught up with them, also accounts that are never heard of again.
func TestSharesOfManyAccountsAreForgotten(t *testing.T) {
	q := NewQueue(0)
	q.KeepsShares = true
	ids := newAccounts()
	chargeInTurn(q, ids)
	if n := len(q.ahead); n != manyAccounts {
		t.Errorf("%d accounts kept after one turn, want %d", n, manyAccounts)
	}
	for range 3 {
		q.Charge(&Request{Account: ids[0]})
	}
	if n := len(q.ahead); n != 1 || !q.IsAhead(ids[0]) {
		t.Errorf("%d accounts kept after one has got ahead of all, want that one", n)
	}
	q.Push(Request{Account: ids[1]})
	q.RemoveIf(func(*Request) bool { return true })
	if n := len(q.ahead); n != 1 {
		t.Errorf("%d accounts kept after one has left that is not ahead, want 1", n)
	}
}

// BenchmarkCharge measures a request that starts without waiting, at the stated size of accounts.
func BenchmarkCharge(b *testing.B) {
	q := NewQueue(0)
	q.KeepsShares = true
	ids := newAccounts()
	chargeInTurn(q, ids[:manyAccounts/2])
	n := manyAccounts / 2
	for b.Loop() {
		q.Charge(&Request{Account: ids[n%manyAccounts]})
		n++
	}
}
