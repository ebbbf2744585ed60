package admitter

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

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
