package balancer

import (
	"testing"

	"cardamompulley/fleet/timekeeper"
)

// The endpoint to which a request was sent is asked first, and one that has asked for a backoff is left alone.
func TestLikelyEndpoints(t *testing.T) {
	v, b, r := newView(2, 4), newTestBalancer(), sessionRequest()
	chosen, _ := b.Choose(v, r, 0)
	newcomer := newTestBalancer()
	if likely := newcomer.LikelyEndpoints(v, r, 3, 0); len(likely) != 3 || likely[0] != chosen.Endpoint {
		t.Errorf("a new gateway asks %v first, the request went to %s", likely[0].ID, chosen.Endpoint.ID)
	}
	overload(b, chosen.Endpoint.ID)
	spilled, _ := b.Choose(v, r, 1)
	likely := b.LikelyEndpoints(v, r, 2, 1)
	if likely[0] != chosen.Endpoint && likely[1] != chosen.Endpoint || likely[0] != spilled.Endpoint && likely[1] != spilled.Endpoint {
		t.Errorf("asks %s and %s, requests went to %s and %s", likely[0].ID, likely[1].ID, chosen.Endpoint.ID, spilled.Endpoint.ID)
	}
	b.Notices.RecordBackoff(chosen.Endpoint.Process(), timekeeper.Second, 1)
	for _, e := range b.LikelyEndpoints(v, r, 100, 2) {
		if e == chosen.Endpoint {
			t.Errorf("%s is asked in its backoff", e.ID)
		}
	}
}
