package balancer

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Guards against sending an outlier requests that may run only once. Other requests may test whether it has recovered.
func TestOutliersGetOnlyTrialRequests(t *testing.T) {
	v := newView(1, 3)
	b := newTestBalancer()
	for range 3 {
		b.Outliers.RecordResult(testService, "e-0-1", true, 0)
		b.Outliers.RecordResult(testService, "e-0-0", false, 0)
	}
	chosen := map[model.EndpointID]int{}
	for n := range 60 {
		c, refusal := b.Choose(v, Request{Service: testService, Session: uint64(n % 20)}, timekeeper.Millis(n))
		if refusal != nil {
			t.Fatal(refusal)
		}
		chosen[c.Endpoint.ID]++
	}
	if chosen["e-0-1"] > 0 {
		t.Fatalf("%d requests that may run only once went to an outlier", chosen["e-0-1"])
	}
	trials := 0
	for n := range 60 {
		if c, _ := b.Choose(v, Request{Service: testService, CanRepeat: true}, timekeeper.Second+timekeeper.Millis(n)); c.Reason == ReasonTrial {
			trials++
		}
	}
	if trials != 1 {
		t.Fatalf("%d trial requests within 60 ms, want 1", trials)
	}
	b.RecordFailure("e-0-0", 0)
	b.RecordFailure("e-0-2", 0)
	if c, _ := b.Choose(v, Request{Service: testService, Session: 1}, 2); c.Endpoint.ID != "e-0-1" {
		t.Fatalf("chose %s though only the outlier e-0-1 can be reached", c.Endpoint.ID)
	}
}
