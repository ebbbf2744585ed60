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

// world is a service of engines over some failure domains.
func world(domains, each int, out ...model.DomainID) *cataloguer.View {
	service := cataloguer.Service{ID: testService, IsEngine: true, MaxColdRequestsPerSecond: 12}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, nil, []cataloguer.Service{service}, nil, false)
	var endpoints []*cataloguer.Endpoint
	for d := range domains {
		for n := range each {
			endpoints = append(endpoints, &cataloguer.Endpoint{
				ID:      model.EndpointID(fmt.Sprintf("e-%d-%d", d, n)),
				Service: testService,
				Domain:  model.DomainID(fmt.Sprintf("d-%d", d)),
				Slots:   64,
			})
		}
	}
	closed := map[model.DomainID]bool{}
	for _, d := range out {
		closed[d] = true
	}

	return cataloguer.NewView(c, closed, endpoints, 1, 0)
}

func newTestBalancer() *Balancer {
	return NewBalancer(2, "self", "d-0", budgeter.NewRoster("self", nil, 0))
}

// A domain that is out still counts in the mean that the operators' bound speaks of.
func TestLoadBoundWhileADomainIsOut(t *testing.T) {
	const requests, sessions, multiple, slack = 240, 4, 2, 3
	v := world(3, 4, "d-2")
	b := newTestBalancer()
	over := 0
	for n := range requests {
		c, refusal := b.Choose(v, Query{Service: testService, Session: uint64(1 + n%sessions)}, 0)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if v.DomainsOut[c.Endpoint.Domain] {
			t.Fatalf("%s is in a domain that is out", c.Endpoint.ID)
		}
		b.Start(c.Endpoint.ID, 0)
		mean := float64(n+1) / 12
		if float64(b.Load(c.Endpoint.ID)) > multiple*mean+slack {
			over++
		}
	}
	if over > 0 {
		t.Fatalf("%d of %d requests went to an endpoint over the bound", over, requests)
	}
}

func TestSessionStaysWhileItsEndpointIsUnderTheBound(t *testing.T) {
	v := world(2, 3)
	b := newTestBalancer()
	first, _ := b.Choose(v, Query{Service: testService, Session: 7}, 0)
	for n := range 20 {
		c, _ := b.Choose(v, Query{Service: testService, Session: 7}, timekeeper.Millis(n))
		if c.Endpoint != first.Endpoint {
			t.Fatalf("request %d went to %s, not to %s", n, c.Endpoint.ID, first.Endpoint.ID)
		}
	}
}

func TestBlockedEndpointsAreTriedWhenNothingElseIsLeft(t *testing.T) {
	v := world(1, 2)
	b := newTestBalancer()
	b.Fail("e-0-0", 0)
	for range 5 {
		c, _ := b.Choose(v, Query{Service: testService, Session: 3}, 1)
		if c.Endpoint.ID != "e-0-1" {
			t.Fatalf("chose %s, which is blocked", c.Endpoint.ID)
		}
	}
	b.Fail("e-0-1", 0)
	if _, refusal := b.Choose(v, Query{Service: testService, Session: 3}, 1); refusal != nil {
		t.Fatalf("refused though endpoints may answer: %v", refusal)
	}
}

func TestColdEndpointsGetTheirShareOnly(t *testing.T) {
	v := world(1, 1)
	v.Endpoints(testService)[0].ColdUntil = timekeeper.Minute
	b := newTestBalancer()
	b.Roster.Meet([]string{"other", "third", "fourth"}, 0)
	b.Roster.Traded("other", 0)
	sent := 0
	for n := range 100 {
		now := 5*timekeeper.Second + timekeeper.Millis(n*10)
		if c, refusal := b.Choose(v, Query{Service: testService, Session: 1}, now); refusal == nil {
			b.Start(c.Endpoint.ID, now)
			sent++
		}
	}
	if sent == 0 || sent > 3 {
		t.Fatalf("%d requests in a second, the share is 3", sent)
	}
}

const testSession = 11

func sessionQuery() Query {
	return Query{Service: testService, Session: testSession, Shared: []model.PromptPart{{ID: 1, Tokens: 500}, {ID: testSession, Tokens: 9000}}}
}

// fill starts requests at an endpoint until it is over the bound.
func fill(b *Balancer, id model.EndpointID) {
	for range 20 {
		b.Start(id, 0)
	}
}

// A session that spills goes to another holder, else to a near endpoint, and its prompt is fetched from the first one.
func TestSessionSpillsToHoldersThenNear(t *testing.T) {
	v := world(2, 4)
	b := newTestBalancer()
	q := sessionQuery()
	home, _ := b.Choose(v, q, 0)
	if home.Source != nil {
		t.Fatalf("a new session is fetched from %s", home.Source.ID)
	}
	fill(b, home.Endpoint.ID)
	near, _ := b.Choose(v, q, 1)
	if near.Endpoint == home.Endpoint || near.Endpoint.Domain != "d-0" || near.Source != home.Endpoint {
		t.Fatalf("spilled to %s, fetched from %v", near.Endpoint.ID, near.Source)
	}
	again, _ := b.Choose(v, q, 2)
	if again.Endpoint != near.Endpoint || again.Source != nil {
		t.Fatalf("then went to %s, not to the holder %s", again.Endpoint.ID, near.Endpoint.ID)
	}
}

// What another gateway has placed is fetched from there.
func TestPlacementsOfOtherGatewaysAreSources(t *testing.T) {
	v := world(2, 4)
	first, second := newTestBalancer(), newTestBalancer()
	q := sessionQuery()
	home, _ := first.Choose(v, q, 0)
	fill(first, home.Endpoint.ID)
	spilled, _ := first.Choose(v, q, 1)
	told, next := first.Journal.Since(0, 100)
	if len(told) != 4 || next != 4 {
		t.Fatalf("%d placements are told up to %d", len(told), next)
	}
	second.Load(spilled.Endpoint.ID)
	for _, p := range told {
		second.Learn(p.Part, CodeOf(p.Endpoint), 2)
	}
	second.Fail(home.Endpoint.ID, 2)
	fill(second, spilled.Endpoint.ID)
	c, _ := second.Choose(v, q, 3)
	if c.Source == nil || c.Source.ID != spilled.Endpoint.ID {
		t.Fatalf("fetched from %v, not from %s", c.Source, spilled.Endpoint.ID)
	}
}

// No request of a caller is spent on finding out whether an endpoint is back.
func TestBlockedEndpointsAreProbedAside(t *testing.T) {
	v := world(1, 2)
	b := newTestBalancer()
	b.Fail("e-0-0", 0)
	later := timekeeper.Minute
	for range 5 {
		c, _ := b.Choose(v, Query{Service: testService, Session: 3}, later)
		if c.Endpoint.ID != "e-0-1" {
			t.Fatalf("chose %s before it was probed", c.Endpoint.ID)
		}
	}
	if due := b.Due(v, later); len(due) != 1 || due[0].ID != "e-0-0" {
		t.Fatalf("due: %v", due)
	}
	if due := b.Due(v, later); len(due) != 0 {
		t.Fatal("two probes at once")
	}
	b.Fail("e-0-0", later)
	if due := b.Due(v, later); len(due) != 0 {
		t.Fatal("probed again at once")
	}
	b.Due(v, 2*later)
	b.Succeed("e-0-0")
	seen := map[model.EndpointID]bool{}
	for session := range uint64(20) {
		c, _ := b.Choose(v, Query{Service: testService, Session: session + 1}, 2*later)
		seen[c.Endpoint.ID] = true
	}
	if !seen["e-0-0"] {
		t.Fatal("not chosen though its probe was answered")
	}
}

func TestConnectionsToAnEndpointAreShared(t *testing.T) {
	const most, gateways = 12, 4
	service := cataloguer.Service{ID: testService, MaxConnections: most}
	c := cataloguer.NewConfiguration(1, cataloguer.Limits{}, nil, []cataloguer.Service{service}, nil, false)
	v := cataloguer.NewView(c, nil, []*cataloguer.Endpoint{{ID: "e", Service: testService, Slots: 6}}, 1, 0)
	b := newTestBalancer()
	b.Roster.Meet([]string{"other", "third", "fourth"}, 0)
	for n := range most {
		choice, refusal := b.Choose(v, Query{Service: testService}, 0)
		if refused := refusal != nil; refused != (n >= most/gateways) {
			t.Fatalf("request %d: refused = %v", n, refused)
		}
		if refusal != nil {
			if refusal.Outcome != model.OutcomeNotRun || refusal.RetryAfter <= 0 {
				t.Fatalf("refusal %+v", refusal)
			}

			continue
		}
		b.Start(choice.Endpoint.ID, 0)
	}
}

// BenchmarkChoose is one choice among the endpoints of the target size, with the reports of a few seconds.
func BenchmarkChoose(b *testing.B) {
	v := world(5, 168)
	x := newTestBalancer()
	for g := range 24 {
		r := report(fmt.Sprintf("gateway-%d", g), 0)
		for n := range 16 {
			id := model.EndpointID(fmt.Sprintf("e-%d-%d", n%5, (g*7+n)%168))
			r.Uses = append(r.Uses, Use{Endpoint: CodeOf(id), Running: 1})
		}
		x.Report(r, 0)
	}
	q := sessionQuery()
	for n := 0; b.Loop(); n++ {
		q.Session = uint64(n % 5000)
		if _, refusal := x.Choose(v, q, timekeeper.Millis(n)); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
