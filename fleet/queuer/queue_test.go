package queuer

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// agingStep and the priorities are those of the sidecar.
const (
	agingStep = 5 * timekeeper.Second

	interactive Priority = 0
	normal      Priority = 1
	batch       Priority = 2
)

// popAll empties the queue and returns the accounts and tickets in order.
func popAll(q *Queue, now timekeeper.Millis) ([]model.AccountID, []Ticket) {
	var accounts []model.AccountID
	var tickets []Ticket
	for {
		item, ok := q.Pop(now)
		if !ok {
			return accounts, tickets
		}
		accounts = append(accounts, item.Account)
		tickets = append(tickets, item.Ticket)
	}
}

func TestSurgeDoesNotDelayOtherAccounts(t *testing.T) {
	q := NewQueue(agingStep)
	for n := range 100 {
		q.Push(Request{Ticket: Ticket(n), Account: "surging", Priority: normal})
	}
	for n := range 3 {
		q.Push(Request{Ticket: Ticket(1000 + n), Account: "quiet", Priority: normal})
	}
	accounts, _ := popAll(q, 0)
	quiet := 0
	for _, a := range accounts[:6] {
		if a == "quiet" {
			quiet++
		}
	}
	if quiet != 3 {
		t.Fatalf("%d of the 3 requests of the quiet account are among the first 6, want 3: %v", quiet, accounts[:6])
	}
}

func TestPriorityAndAging(t *testing.T) {
	cases := []struct {
		name  string
		items []Request
		now   timekeeper.Millis
		first Ticket
	}{
		{"interactive before batch", []Request{{Ticket: 1, Account: "a", Priority: batch}, {Ticket: 2, Account: "a", Priority: interactive}}, 0, 2},
		{"batch that has waited three aging steps", []Request{{Ticket: 1, Account: "a", Priority: batch}, {Ticket: 2, Account: "b", Priority: normal, QueuedAt: 3 * agingStep}}, 3 * agingStep, 1},
		{"FIFO within one priority", []Request{{Ticket: 1, Account: "a", Priority: normal}, {Ticket: 2, Account: "a", Priority: normal}}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue(agingStep)
			for _, item := range c.items {
				q.Push(item)
			}
			if _, tickets := popAll(q, c.now); tickets[0] != c.first {
				t.Fatalf("served %v, wrong first ticket", tickets)
			}
		})
	}
}

func TestLateRequestsGoLast(t *testing.T) {
	q := NewQueue(0)
	q.Push(Request{Ticket: 1, Account: "a", Priority: interactive, OnTimeUntil: 10})
	q.Push(Request{Ticket: 2, Account: "b", Priority: batch, OnTimeUntil: 100})
	if _, tickets := popAll(q, 50); tickets[0] != 2 {
		t.Errorf("order %v, want the request that can be on time first", tickets)
	}
}

func TestAccountKeepsWhatItHasBeenServed(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		q := NewQueue(0)
		q.KeepsShares = keeps
		q.Charge(&Request{Account: "a"})
		q.Push(Request{Ticket: 1, Account: "a"})
		q.Push(Request{Ticket: 2, Account: "b"})
		first := Ticket(1)
		if keeps {
			first = 2
		}
		if _, tickets := popAll(q, 0); tickets[0] != first {
			t.Errorf("keeps shares %t: order %v, want %d first", keeps, tickets, first)
		}
	}
}

func TestCountBeforeIsTheOrderOfStarts(t *testing.T) {
	q := NewQueue(0)
	q.KeepsShares = true
	for n := range 12 {
		q.Push(Request{Ticket: Ticket(n), Account: model.AccountID(rune('a' + n%3)), Priority: Priority(n % 2)})
	}
	q.Pop(0)
	newcomer := Request{Ticket: 100, Account: "b", Priority: 0}
	before := q.CountBefore(&newcomer, 0)
	q.Push(newcomer)
	_, tickets := popAll(q, 0)
	if before >= len(tickets) || tickets[before] != newcomer.Ticket {
		t.Errorf("%d counted before the newcomer, order %v", before, tickets)
	}
}
