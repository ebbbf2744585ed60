package prover

import (
	"fmt"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// GatewayVariant weakens the cores of gateways, to show that the schedules find what they are for.
type GatewayVariant struct {
	// SpendsAlone gives each gateway the sums of all.
	SpendsAlone bool
	// KnowsNobody never learns of other gateways, and so takes every share for itself.
	KnowsNobody bool
	// RepeatsAnything sends requests again that may have run.
	RepeatsAnything bool
	// IgnoresOutages does not look at domains that are out.
	IgnoresOutages bool
	// TakesOldCopies takes another gateway's copy of a range though it is older.
	TakesOldCopies bool
}

const (
	gatewaySteps = 500
	gatewayStep  = 25 * timekeeper.Millis(1)
	// inTouch is how long a gateway must have followed the store without a break before it is held to its news.
	inTouch = 2 * timekeeper.Second
	// lapseAfter is the outage of the store after which gateways doubt deletions; their doubt and inTouch fit in deletedBound.
	lapseAfter   = timekeeper.Second
	deletedBound = inTouch + 3*timekeeper.Second
	// mostWindow bounds the window of the retry budget.
	mostWindow = 8 * timekeeper.Second
)

// deployment is a drawn site of any size.
type deployment struct {
	domains  int
	gateways int
	services []cataloguer.Service
	terms    budgeter.RetryLimits
	multiple float64
	mostRuns int
}

func drawDeployment(c Chooser) deployment {
	d := deployment{
		domains:  1 + c(5),
		gateways: 1 + c(12),
		terms: budgeter.RetryLimits{
			Ratio:  float64(c(6)) / 10,
			Slack:  float64(5 + c(80)),
			Window: 2*timekeeper.Second + c.span(mostWindow-2*timekeeper.Second),
		},
		multiple: 1.2 + float64(c(20))/10,
		mostRuns: 1 + c(4),
	}
	for n := range 1 + c(3) {
		s := cataloguer.Service{
			ID: model.ServiceID(fmt.Sprintf("service-%d", n)), IsEngine: c.chance(2), MaxColdRequestsPerSecond: float64(1 + c(30)),
		}
		if c.chance(2) {
			s.MaxConnections = d.gateways * (1 + c(40))
		}
		d.services = append(d.services, s)
	}

	return d
}

// truth is what really holds of an endpoint.
type truth struct {
	service   model.ServiceID
	domain    model.DomainID
	leaving   bool
	closedAt  timekeeper.Millis
	coldUntil timekeeper.Millis
	// arrivals are the requests that it got while it was cold.
	arrivals []timekeeper.Millis
}

// traffic is what a service was sent.
type traffic struct {
	requests, repeats []timekeeper.Millis
}

// gatewayWorld is a store, endpoints and gateways on one virtual clock.
type gatewayWorld struct {
	choose  Chooser
	variant GatewayVariant
	site    deployment
	now     timekeeper.Millis

	configuration *cataloguer.Configuration
	store         storeModel
	storeAwayTill timekeeper.Millis
	// entries holds what the store's entry of a revision says.
	entries   map[uint64]cataloguer.Endpoint
	endpoints map[model.EndpointID]*truth
	ids       []model.EndpointID
	outSince  map[model.DomainID]timekeeper.Millis
	gateways  []*gatewayProcess
	traffic   map[model.ServiceID]*traffic
	violation *Violation
}

// RunGatewaySchedule draws a deployment and plays requests, operators' changes and faults against its gateways.
func RunGatewaySchedule(c Chooser, variant GatewayVariant) *Violation {
	w := newGatewayWorld(c, variant)
	for range gatewaySteps {
		w.now += gatewayStep
		w.disturbGateways()
		w.changeSite()
		for _, g := range w.gateways {
			w.runGateway(g)
		}
		for range c(4) {
			w.sendRequest()
		}
		if w.violation != nil {
			return w.violation
		}
	}
	w.checkBudgets()

	return w.violation
}

func newGatewayWorld(c Chooser, variant GatewayVariant) *gatewayWorld {
	site := drawDeployment(c)
	w := &gatewayWorld{
		choose:        c,
		variant:       variant,
		site:          site,
		configuration: cataloguer.NewConfiguration(1, cataloguer.Limits{}, nil, site.services, nil, false),
		store:         storeModel{items: map[string]replicator.Item{}},
		entries:       map[uint64]cataloguer.Endpoint{},
		endpoints:     map[model.EndpointID]*truth{},
		outSince:      map[model.DomainID]timekeeper.Millis{},
		traffic:       map[model.ServiceID]*traffic{},
	}
	for _, s := range site.services {
		w.traffic[s.ID] = &traffic{}
		for range 1 + c(10) {
			w.addEndpoint(s.ID, 0)
		}
	}
	for n := range site.gateways {
		w.gateways = append(w.gateways, w.startGateway(n, nil))
	}

	return w
}

func (w *gatewayWorld) fail(promise, format string, arguments ...any) {
	if w.violation == nil {
		w.violation = &Violation{Promise: promise, Detail: fmt.Sprintf("at %d ms: ", w.now) + fmt.Sprintf(format, arguments...)}
	}
}

func (w *gatewayWorld) addEndpoint(service model.ServiceID, cold timekeeper.Millis) {
	id := model.EndpointID(fmt.Sprintf("endpoint-%d", len(w.ids)))
	domain := model.DomainID(fmt.Sprintf("domain-%d", w.choose(w.site.domains)))
	w.ids = append(w.ids, id)
	w.endpoints[id] = &truth{service: service, domain: domain, coldUntil: w.now + cold}
	w.writeEndpoint(id)
}

// writeEndpoint has an endpoint write its entry.
func (w *gatewayWorld) writeEndpoint(id model.EndpointID) {
	t := w.endpoints[id]
	revision := w.store.put(endpointKey(id))
	w.entries[revision] = cataloguer.Endpoint{
		ID: id, Service: t.service, Domain: t.domain, Slots: 4, IsDraining: t.leaving, ColdRemaining: max(t.coldUntil-w.now, 0),
	}
}

// changeSite has operators and endpoints change what the store holds.
func (w *gatewayWorld) changeSite() {
	c := w.choose
	switch c(60) {
	case 0:
		w.addEndpoint(w.site.services[c(len(w.site.services))].ID, 5*timekeeper.Second)
	case 1:
		w.closeEndpoint(w.ids[c(len(w.ids))], c.chance(2))
	case 2:
		w.turnDomain(model.DomainID(fmt.Sprintf("domain-%d", c(w.site.domains))))
	case 3:
		w.storeAwayTill = w.now + c.span(4*timekeeper.Second)
	}
}

// closeEndpoint has an endpoint leave, by its mark or by removing its entry.
func (w *gatewayWorld) closeEndpoint(id model.EndpointID, marked bool) {
	t := w.endpoints[id]
	if t.closedAt > 0 {
		return
	}
	t.closedAt = w.now
	t.leaving = true
	if marked {
		w.writeEndpoint(id)
	} else {
		w.store.delete(endpointKey(id))
	}
}

func (w *gatewayWorld) turnDomain(d model.DomainID) {
	if _, out := w.outSince[d]; out {
		delete(w.outSince, d)
		w.store.delete(outageKey(d))
	} else {
		w.outSince[d] = w.now
		w.store.put(outageKey(d))
	}
}
