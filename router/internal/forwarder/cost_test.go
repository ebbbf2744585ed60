package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"cardamompulley/fleet/balancer"
	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/estimator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Attempts that an endpoint refuses leave no work there that later requests are expected to wait for.
func TestRefusedAttemptsLeaveNoWork(t *testing.T) {
	const (
		service = "s"
		refused = "HTTP/1.1 503 Service Unavailable\r\nCardamompulley-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
	)
	address := listenWithAnswers(t, false, refused, refused, refused, refused)
	f := newTestForwarder(address)
	route := cataloguer.Route{
		Name: "r", Host: "a", Prefix: "/", Kind: cataloguer.KindOnce, IsPublic: true,
		TrafficSplit: []cataloguer.WeightedService{{Service: service, Weight: 1}},
	}
	services := []cataloguer.Service{{ID: service, IsEngine: true}}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, []cataloguer.Route{route}, services, nil, false)
	e := &cataloguer.Endpoint{ID: "e", Service: service, Domain: "d", Address: address}
	view := cataloguer.NewView(c, nil, []*cataloguer.Endpoint{e}, f.clock.Now())
	f.CurrentView = func() *cataloguer.View { return view }
	work := estimator.Work{Read: 10_000}
	expect := func() (x estimator.Expectation) {
		f.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
			x = b.Costs.Expect(service, e.Process(), work, f.clock.Now())
		})

		return x
	}
	f.UpdateBalancer(func(b *balancer.Balancer, _ *budgeter.RetryBudget) {
		for range 100 {
			b.Costs.RecordFirst(estimator.Answer{Service: service, Endpoint: e.Process(), Work: estimator.Work{Read: 10}, Took: 40, Slowdown: 1}, 0)
			b.Costs.RecordFirst(estimator.Answer{Service: service, Endpoint: e.Process(), Work: work, Took: 5 * timekeeper.Second, Slowdown: 1}, 0)
		}
	})
	before := expect()
	if !before.IsKnown {
		t.Fatal("nothing is forecast")
	}
	for _, id := range []model.AttemptID{"a", "b"} {
		if w := servePrompt(f, id, "1:10000"); w.Code < 500 {
			t.Fatalf("status %d", w.Code)
		}
	}
	if after := expect(); after.First != before.First {
		t.Errorf("%d ms are expected after refused attempts, %d before", after.First, before.First)
	}
}

// servePrompt serves a request with a prompt.
func servePrompt(f *Forwarder, id model.AttemptID, prompt string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", string(id))
	r.Header.Set("Cardamompulley-Prompt-Prefix", prompt)
	f.ServeHTTP(w, r)

	return w
}
