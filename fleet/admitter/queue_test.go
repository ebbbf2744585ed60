package admitter

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// popAll empties the queue and returns the accounts and tickets in order.
func popAll(q *fairQueue, now timekeeper.Millis) ([]model.AccountID, []Ticket) {
	var accounts []model.AccountID
	var tickets []Ticket
	for {
		item, ok := q.pop(now)
		if !ok {
			return accounts, tickets
		}
		accounts = append(accounts, item.Account)
		tickets = append(tickets, item.Ticket)
	}
}

func TestSurgeDoesNotDelayOtherAccounts(t *testing.T) {
	q := newFairQueue()
	for n := range 100 {
		q.push(Request{Ticket: Ticket(n), Account: "surging", Priority: PriorityNormal})
	}
	for n := range 3 {
		q.push(Request{Ticket: Ticket(1000 + n), Account: "quiet", Priority: PriorityNormal})
	}
	accounts, _ := popAll(&q, 0)
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
		{"interactive before batch", []Request{{Ticket: 1, Account: "a", Priority: PriorityBatch}, {Ticket: 2, Account: "a", Priority: PriorityInteractive}}, 0, 2},
		{"batch that has waited three aging steps", []Request{{Ticket: 1, Account: "a", Priority: PriorityBatch}, {Ticket: 2, Account: "b", Priority: PriorityNormal, queuedAt: 3 * AgingStep}}, 3 * AgingStep, 1},
		{"FIFO within one priority", []Request{{Ticket: 1, Account: "a", Priority: PriorityNormal}, {Ticket: 2, Account: "a", Priority: PriorityNormal}}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newFairQueue()
			for _, item := range c.items {
				q.push(item)
			}
			if _, tickets := popAll(&q, c.now); tickets[0] != c.first {
				t.Fatalf("served %v, wrong first ticket", tickets)
			}
		})
	}
}

func TestAdmitRefusesRequestsThatWouldMissTheirDeadline(t *testing.T) {
	a := NewAdmitter(warmLimiter())
	for n := range 8 {
		a.Admit(Request{Ticket: Ticket(n), Account: "a"}, 100, 0)
	}
	late := a.Admit(Request{Ticket: 99, Account: "a", Deadline: 10}, 100, 0)
	if late.Action != ActionRefuse || late.Code != model.CodeDeadlineTooShort || late.RetryAfter <= 0 {
		t.Fatalf("late request: decision %+v, want a refusal for its deadline with a retry-after", late)
	}
	if inTime := a.Admit(Request{Ticket: 100, Account: "a", Deadline: timekeeper.Minute}, 100, 0); inTime.Action != ActionWait {
		t.Fatalf("request in time: decision %+v, want it to wait", inTime)
	}
	if expired := a.Expire(timekeeper.Minute + 1); len(expired) != 1 || expired[0].Ticket != 100 {
		t.Fatalf("expired %+v, want ticket 100 only", expired)
	}
}
