package balancer

import (
	"testing"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// settled is a time at which a gateway without others uses its shares.
const settled = 10 * timekeeper.Second

// limit lets endpoints advertise a limit a second at the time settled.
func limit(b *Balancer, perSecond float64, ids ...model.EndpointID) {
	for _, id := range ids {
		b.Limits.Merge(budgeter.LimitNotice{Endpoint: model.EndpointProcess{ID: id}, PerSecond: perSecond, IsAdvertised: true, At: settled})
	}
}

// sendSessions chooses endpoints for requests of many sessions, one each millisecond, and returns how many each got.
func sendSessions(t *testing.T, b *Balancer, sessions, requests int, from timekeeper.Millis) (counts map[model.EndpointID]int, refused int) {
	t.Helper()
	v := newView(1, 4)
	counts = map[model.EndpointID]int{}
	for n := range requests {
		now := from + timekeeper.Millis(n)
		c, refusal := b.Choose(v, Request{Service: testService, Session: uint64(1 + n%sessions)}, now)
		if refusal != nil {
			if refusal.Outcome != model.OutcomeNotRun || refusal.RetryAfter < minLimitRetryAfter || refusal.RetryAfter > maxLimitRetryAfter {
				t.Fatalf("refusal is %+v", refusal)
			}
			refused++

			continue
		}
		b.RecordStart(c.Endpoint.ID, now)
		b.RecordFinish(c.Endpoint.ID)
		counts[c.Endpoint.ID]++
	}

	return counts, refused
}

func TestLimitedEndpointGetsItsShareAndOthersTheRest(t *testing.T) {
	b := newTestBalancer()
	limit(b, 2, "e-0-0")
	counts, refused := sendSessions(t, b, 40, 4000, settled)
	if got := counts["e-0-0"]; got < 6 || got > 8 {
		t.Errorf("%d requests in 4 s at a limit of 2 a second", got)
	}
	if refused > 0 {
		t.Errorf("%d requests were refused", refused)
	}
}

func TestRequestsAreRefusedWhenAllEndpointsAdvertiseLimits(t *testing.T) {
	b := newTestBalancer()
	limit(b, 3, "e-0-0", "e-0-1", "e-0-2", "e-0-3")
	counts, refused := sendSessions(t, b, 40, 2000, settled)
	served := 0
	for _, n := range counts {
		served += n
	}
	if served < 20 || served > 28 || served+refused != 2000 {
		t.Errorf("%d served, %d refused at four times 3 requests a second for 2 s", served, refused)
	}
}

// What limited endpoints do not take must not overrun the only other one.
func TestEndpointBesideLimitedOnesIsNotOverrun(t *testing.T) {
	const requests = 200
	b := newTestBalancer()
	v := newView(1, 4)
	limit(b, 1, "e-0-0", "e-0-1", "e-0-2")
	for n := range requests {
		if c, refusal := b.Choose(v, Request{Service: testService, Session: uint64(1 + n)}, settled); refusal == nil {
			b.RecordStart(c.Endpoint.ID, settled)
		}
	}
	if load := b.Load("e-0-3"); load != 64 {
		t.Errorf("%d requests at an endpoint with 64 slots", load)
	}
}

// A session whose prompt another endpoint holds must not be sent to a limited one that lacks it.
func TestLimitedEndpointServesSessionsThatItHolds(t *testing.T) {
	b := newTestBalancer()
	v := newView(1, 4)
	r := sessionRequest()
	first, _ := b.Choose(v, r, settled)
	var others []model.EndpointID
	for _, e := range v.Endpoints(testService) {
		if e.ID != first.Endpoint.ID {
			others = append(others, e.ID)
		}
	}
	limit(b, 0.5, others...)
	for now := settled; now < settled+timekeeper.Second; now += 50 {
		c, refusal := b.Choose(v, r, now)
		if refusal != nil || c.Endpoint.ID != first.Endpoint.ID {
			t.Fatalf("chose %v, refusal %v; %s holds the session", c.Endpoint, refusal, first.Endpoint.ID)
		}
	}
}

// Sessions must stay where they are as long as the limits allow, also if all endpoints advertise one.
func TestSessionsStayWhenAllEndpointsAdvertiseLimits(t *testing.T) {
	const running = 6
	b := newTestBalancer()
	v := newView(1, 4)
	limit(b, 50, "e-0-0", "e-0-1", "e-0-2", "e-0-3")
	for _, e := range v.Endpoints(testService) {
		for range running {
			b.RecordStart(e.ID, settled)
		}
	}
	r := sessionRequest()
	first, _ := b.Choose(v, r, settled+timekeeper.Second)
	for n := range timekeeper.Millis(5) {
		now := settled + (n+2)*timekeeper.Second
		c, refusal := b.Choose(v, r, now)
		if refusal != nil || c.Endpoint != first.Endpoint || c.Reason == ReasonLeastLoaded {
			t.Fatalf("request %d: chose %+v, refusal %v, want %s", n, c, refusal, first.Endpoint.ID)
		}
	}
}
