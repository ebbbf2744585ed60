package balancer

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Requests that may run only once keep away from an endpoint that fails; others look whether it is well again.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	v := world(1, 3)
	b := newTestBalancer()
	for range 3 {
		b.Grades.Note(testService, "e-0-1", true, 0)
		b.Grades.Note(testService, "e-0-0", false, 0)
	}
	chosen := map[model.EndpointID]int{}
	for n := range 60 {
		c, refusal := b.Choose(v, Query{Service: testService, Session: uint64(n % 20)}, timekeeper.Millis(n))
		if refusal != nil {
			t.Fatal(refusal)
		}
		chosen[c.Endpoint.ID]++
	}
	if chosen["e-0-1"] > 0 {
		t.Fatalf("%d requests that may run only once went to a failing endpoint", chosen["e-0-1"])
	}
	sampled := 0
	for n := range 60 {
		if c, _ := b.Choose(v, Query{Service: testService, Repeatable: true}, timekeeper.Second+timekeeper.Millis(n)); c.Reason == ReasonSample {
			sampled++
		}
	}
	if sampled != 1 {
		t.Fatalf("sampled %d times in a moment", sampled)
	}
	b.Fail("e-0-0", 0)
	b.Fail("e-0-2", 0)
	if c, _ := b.Choose(v, Query{Service: testService, Session: 1}, 2); c.Endpoint.ID != "e-0-1" {
		t.Fatalf("chose %s though only a doubted endpoint can be reached", c.Endpoint.ID)
	}
}
