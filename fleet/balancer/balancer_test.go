package balancer

import (
	"fmt"
	"testing"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const testService = model.ServiceID("engine")

// newView returns a service with perDomain engines in each failure domain; the domains in out take no new work.
func newView(domains, perDomain int, out ...model.DomainID) *cataloguer.View {
	service := cataloguer.Service{ID: testService, IsEngine: true, MaxColdRequestsPerSecond: 12}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, nil, []cataloguer.Service{service}, nil, false)
	var endpoints []*cataloguer.Endpoint
	for d := range domains {
		for n := range perDomain {
			endpoints = append(endpoints, &cataloguer.Endpoint{
				ID:      model.EndpointID(fmt.Sprintf("e-%d-%d", d, n)),
				Service: testService,
				Domain:  model.DomainID(fmt.Sprintf("d-%d", d)),
				Slots:   64,
			})
		}
	}
	isOut := map[model.DomainID]bool{}
	for _, d := range out {
		isOut[d] = true
	}

	return cataloguer.NewView(c, isOut, endpoints, 0)
}

func newTestBalancer() *Balancer {
	return NewBalancer(2, "self", "d-0", budgeter.NewMembership("self", nil, 0))
}

// Guards against a load bound that ignores the endpoints of a failure domain that is out: the operators' bound counts them
// in the mean load.
func TestLoadBoundHoldsWithFailureDomainOut(t *testing.T) {
	const requests, sessions, multiple, slack = 240, 4, 2, 3
	v := newView(3, 4, "d-2")
	b := newTestBalancer()
	over := 0
	for n := range requests {
		c, refusal := b.Choose(v, Request{Service: testService, Session: uint64(1 + n%sessions)}, 0)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if v.DomainsOut[c.Endpoint.Domain] {
			t.Fatalf("chose %s, whose failure domain is out", c.Endpoint.ID)
		}
		b.RecordStart(c.Endpoint.ID, 0)
		mean := float64(n+1) / 12
		if float64(b.Load(c.Endpoint.ID)) > multiple*mean+slack {
			over++
		}
	}
	if over > 0 {
		t.Fatalf("%d of %d requests went to an endpoint over the load bound", over, requests)
	}
}

func TestSessionStaysOnEndpointWithinLoadBound(t *testing.T) {
	v := newView(2, 3)
	b := newTestBalancer()
	first, _ := b.Choose(v, Request{Service: testService, Session: 7}, 0)
	for n := range 20 {
		c, _ := b.Choose(v, Request{Service: testService, Session: 7}, timekeeper.Millis(n))
		if c.Endpoint != first.Endpoint {
			t.Fatalf("request %d of the session went to %s, want %s", n, c.Endpoint.ID, first.Endpoint.ID)
		}
	}
}

func TestEndpointsWithOpenBreakersAreTheLastResort(t *testing.T) {
	v := newView(1, 2)
	b := newTestBalancer()
	b.RecordFailure("e-0-0", 0)
	for range 5 {
		c, _ := b.Choose(v, Request{Service: testService, Session: 3}, 1)
		if c.Endpoint.ID != "e-0-1" {
			t.Fatalf("chose %s, want e-0-1, the only endpoint with a closed breaker", c.Endpoint.ID)
		}
	}
	b.RecordFailure("e-0-1", 0)
	if _, refusal := b.Choose(v, Request{Service: testService, Session: 3}, 1); refusal != nil {
		t.Fatalf("refused instead of trying endpoints with open breakers: %v", refusal)
	}
}

func TestColdEndpointsGetOnlyTheGatewaysShare(t *testing.T) {
	v := newView(1, 1)
	v.Endpoints(testService)[0].ColdUntil = timekeeper.Minute
	b := newTestBalancer()
	b.Membership.Add([]string{"other", "third", "fourth"}, 0)
	b.Membership.RecordExchange("other", 0)
	sent := 0
	for n := range 100 {
		now := 5*timekeeper.Second + timekeeper.Millis(n*10)
		if c, refusal := b.Choose(v, Request{Service: testService, Session: 1}, now); refusal == nil {
			b.RecordStart(c.Endpoint.ID, now)
			sent++
		}
	}
	if sent == 0 || sent > 3 {
		t.Fatalf("sent %d requests to a cold endpoint in a second, want 1 to 3", sent)
	}
}

const testSession = 11

func sessionRequest() Request {
	return Request{
		Service: testService, Session: testSession,
		SharedParts: []model.PromptPart{{ID: 1, Tokens: 500}, {ID: testSession, Tokens: 9000}},
	}
}

// overload starts enough requests at an endpoint to take it over the load bound.
func overload(b *Balancer, id model.EndpointID) {
	for range 20 {
		b.RecordStart(id, 0)
	}
}

// A session whose first-ranked endpoint is over the load bound goes to another holder, else to an endpoint of the own
// failure domain, which fetches the prompt from the first one.
func TestSessionSpillsToHoldersThenLocalEndpoints(t *testing.T) {
	v := newView(2, 4)
	b := newTestBalancer()
	r := sessionRequest()
	first, _ := b.Choose(v, r, 0)
	if first.CacheSource != nil {
		t.Fatalf("a new session has the cache source %s, want none", first.CacheSource.ID)
	}
	overload(b, first.Endpoint.ID)
	local, _ := b.Choose(v, r, 1)
	if local.Endpoint == first.Endpoint || local.Endpoint.Domain != "d-0" || local.CacheSource != first.Endpoint {
		t.Fatalf("spilled to %s with cache source %v, want a local endpoint and the first one", local.Endpoint.ID, local.CacheSource)
	}
	again, _ := b.Choose(v, r, 2)
	if again.Endpoint != local.Endpoint || again.CacheSource != nil {
		t.Fatalf("next request went to %s, want the holder %s without a cache source", again.Endpoint.ID, local.Endpoint.ID)
	}
}

// A placement learned from another gateway makes that endpoint the cache source.
func TestPlacementsOfOtherGatewaysAreCacheSources(t *testing.T) {
	v := newView(2, 4)
	one, other := newTestBalancer(), newTestBalancer()
	r := sessionRequest()
	first, _ := one.Choose(v, r, 0)
	overload(one, first.Endpoint.ID)
	spilled, _ := one.Choose(v, r, 1)
	placements, next := one.PlacementLog.Since(0, 100)
	if len(placements) != 4 || next != 4 {
		t.Fatalf("got %d placements up to number %d, want 4 up to 4", len(placements), next)
	}
	other.Load(spilled.Endpoint.ID)
	for _, p := range placements {
		other.MergePlacement(p.Part, HashName(p.Endpoint), 2)
	}
	other.RecordFailure(first.Endpoint.ID, 2)
	overload(other, spilled.Endpoint.ID)
	c, _ := other.Choose(v, r, 3)
	if c.CacheSource == nil || c.CacheSource.ID != spilled.Endpoint.ID {
		t.Fatalf("cache source is %v, want %s", c.CacheSource, spilled.Endpoint.ID)
	}
}

// Guards against using callers' requests to find out whether an unreachable endpoint is back: only a probe closes its
// breaker.
func TestOpenBreakersCloseOnlyAfterProbe(t *testing.T) {
	v := newView(1, 2)
	b := newTestBalancer()
	b.RecordFailure("e-0-0", 0)
	later := timekeeper.Minute
	for range 5 {
		c, _ := b.Choose(v, Request{Service: testService, Session: 3}, later)
		if c.Endpoint.ID != "e-0-1" {
			t.Fatalf("chose %s before it was probed", c.Endpoint.ID)
		}
	}
	if due := b.StartProbes(v, later); len(due) != 1 || due[0].ID != "e-0-0" {
		t.Fatalf("endpoints due for a probe: %v, want e-0-0", due)
	}
	if due := b.StartProbes(v, later); len(due) != 0 {
		t.Fatal("second probe started while the first one runs")
	}
	b.RecordFailure("e-0-0", later)
	if due := b.StartProbes(v, later); len(due) != 0 {
		t.Fatal("probed again without a wait after a failed probe")
	}
	b.StartProbes(v, 2*later)
	b.RecordSuccess("e-0-0")
	seen := map[model.EndpointID]bool{}
	for session := range uint64(20) {
		c, _ := b.Choose(v, Request{Service: testService, Session: session + 1}, 2*later)
		seen[c.Endpoint.ID] = true
	}
	if !seen["e-0-0"] {
		t.Fatal("e-0-0 was not chosen in 20 sessions after its probe succeeded")
	}
}

func TestConnectionLimitIsDividedAmongGateways(t *testing.T) {
	const maxConnections, gateways = 12, 4
	service := cataloguer.Service{ID: testService, MaxConnections: maxConnections}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, nil, []cataloguer.Service{service}, nil, false)
	v := cataloguer.NewView(c, nil, []*cataloguer.Endpoint{{ID: "e", Service: testService, Slots: 6}}, 0)
	b := newTestBalancer()
	b.Membership.Add([]string{"other", "third", "fourth"}, 0)
	for n := range maxConnections {
		choice, refusal := b.Choose(v, Request{Service: testService}, 0)
		if isRefused := refusal != nil; isRefused != (n >= maxConnections/gateways) {
			t.Fatalf("request %d: refused = %v", n, isRefused)
		}
		if refusal != nil {
			if refusal.Outcome != model.OutcomeNotRun || refusal.RetryAfter <= 0 {
				t.Fatalf("refusal is %+v, want outcome not-run and a retry-after", refusal)
			}

			continue
		}
		b.RecordStart(choice.Endpoint.ID, 0)
	}
}

// BenchmarkChoose makes choices among the endpoints of a fleet of the target size, with reports from 24 other gateways.
func BenchmarkChoose(b *testing.B) {
	v := newView(5, 168)
	x := newTestBalancer()
	for g := range 24 {
		r := report(fmt.Sprintf("gateway-%d", g), 0)
		for n := range 16 {
			id := model.EndpointID(fmt.Sprintf("e-%d-%d", n%5, (g*7+n)%168))
			r.Loads = append(r.Loads, EndpointLoad{Endpoint: HashName(id), Running: 1})
		}
		x.MergeReport(r, 0)
	}
	r := sessionRequest()
	for n := 0; b.Loop(); n++ {
		r.Session = uint64(n % 5000)
		if _, refusal := x.Choose(v, r, timekeeper.Millis(n)); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

// Guards against an endpoint that fetches what another software version has cached.
func TestCacheSourceRunsSameSoftware(t *testing.T) {
	v := newView(2, 4)
	b := newTestBalancer()
	r := sessionRequest()
	first, _ := b.Choose(v, r, 0)
	for e := range v.AllEndpoints() {
		e.Software = "v2"
	}
	first.Endpoint.Software = "v1"
	overload(b, first.Endpoint.ID)
	if other, _ := b.Choose(v, r, minSourceAge); other.CacheSource != nil {
		t.Fatalf("%s of %s fetches from %s of %s", other.Endpoint.ID, other.Endpoint.Software, other.CacheSource.ID, other.CacheSource.Software)
	}
}
