package admitter

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// served pops everything and returns the accounts and tickets in order.
func served(q *fairQueue, now timekeeper.Millis) ([]model.AccountID, []Ticket) {
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

func TestSurgeEatsItsOwnShareOnly(t *testing.T) {
	q := newFairQueue()
	for n := range 100 {
		q.push(Item{Ticket: Ticket(n), Account: "surging", Priority: PriorityNormal})
	}
	for n := range 3 {
		q.push(Item{Ticket: Ticket(1000 + n), Account: "quiet", Priority: PriorityNormal})
	}
	accounts, _ := served(&q, 0)
	quiet := 0
	for _, a := range accounts[:6] {
		if a == "quiet" {
			quiet++
		}
	}
	if quiet != 3 {
		t.Fatalf("%d of the quiet account's three are among the first six: %v", quiet, accounts[:6])
	}
}

func TestPriorityAndAgeing(t *testing.T) {
	cases := []struct {
		name  string
		items []Item
		now   timekeeper.Millis
		first Ticket
	}{
		{"interactive before batch", []Item{{Ticket: 1, Account: "a", Priority: PriorityBatch}, {Ticket: 2, Account: "a", Priority: PriorityInteractive}}, 0, 2},
		{"batch that has waited two steps", []Item{{Ticket: 1, Account: "a", Priority: PriorityBatch}, {Ticket: 2, Account: "b", Priority: PriorityNormal, queued: 3 * AgeStep}}, 3 * AgeStep, 1},
		{"first come within one priority", []Item{{Ticket: 1, Account: "a", Priority: PriorityNormal}, {Ticket: 2, Account: "a", Priority: PriorityNormal}}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newFairQueue()
			for _, item := range c.items {
				q.push(item)
			}
			if _, tickets := served(&q, c.now); tickets[0] != c.first {
				t.Fatalf("served %v", tickets)
			}
		})
	}
}

func TestWorkThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	a := NewAdmitter(warmLimiter())
	for n := range 8 {
		a.Offer(Item{Ticket: Ticket(n), Account: "a"}, 100, 0)
	}
	late := a.Offer(Item{Ticket: 99, Account: "a", Deadline: 10}, 100, 0)
	if late.Action != ActionRefuse || late.Code != model.CodeDeadline || late.RetryAfter <= 0 {
		t.Fatalf("decision %+v", late)
	}
	if inTime := a.Offer(Item{Ticket: 100, Account: "a", Deadline: timekeeper.Minute}, 100, 0); inTime.Action != ActionWait {
		t.Fatalf("decision %+v", inTime)
	}
	if expired := a.Expire(timekeeper.Minute + 1); len(expired) != 1 || expired[0].Ticket != 100 {
		t.Fatalf("expired %+v", expired)
	}
}
