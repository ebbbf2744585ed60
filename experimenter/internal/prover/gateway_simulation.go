package prover

import (
	"fmt"

	"cardamompulley/fleet/budgeter"
	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
	"cardamompulley/fleet/timekeeper"
)

// GatewayVariant disables mechanisms of gateways. The zero value is the product as it is.
type GatewayVariant struct {
	// SpendsWholeRetryBudget lets each gateway spend the retry budget of the whole fleet.
	SpendsWholeRetryBudget bool
	// IgnoresOtherGateways keeps gateways from learning of each other, so that each takes all shares for itself.
	IgnoresOtherGateways bool
	// RetriesAnyFailure retries requests that may have run as if they had not.
	RetriesAnyFailure bool
	// IgnoresDomainOutages uses endpoints in failure domains that are out of service.
	IgnoresDomainOutages bool
	// AcceptsStaleCopies accepts another gateway's copy of a range even if it is older than the gateway's own.
	AcceptsStaleCopies bool
	// TakesCopiesAsFresh takes another gateway's copy of a range for what the store holds now.
	TakesCopiesAsFresh bool
	// IgnoresLimits sends requests to endpoints that advertise a limit as to others.
	IgnoresLimits bool
	// IgnoresLeaving uses endpoints that say that they leave like others, IgnoresBackoff those that ask for a backoff.
	IgnoresLeaving bool
	IgnoresBackoff bool
	// IgnoresEras orders what the store says by revision alone.
	IgnoresEras bool
	// DropsMissingAtOnce drops what a restored store lacks without giving its owners time to write it again.
	DropsMissingAtOnce bool
	// TrustsRestoredEntries uses the entries of endpoints that a restored store brings back although they have left.
	TrustsRestoredEntries bool
	// PlacesByViewOfArrival places a request by what was known before its body arrived.
	PlacesByViewOfArrival bool
}

const (
	gatewaySteps = 500
	stepInterval = 25 * timekeeper.Millis(1)
	// syncGracePeriod is the time for which a gateway must have followed the store without interruption before the checks
	// require it to act on changes there.
	syncGracePeriod = 2 * timekeeper.Second
	// storeOutageThreshold is the length of a store outage after which gateways defer deletions. The grace period of these
	// deletions and syncGracePeriod together fit into removalBound.
	storeOutageThreshold = timekeeper.Second
	// removalBound is the time after which a gateway that follows the store must not choose a removed endpoint.
	removalBound = syncGracePeriod + 3*timekeeper.Second
	// rewriteTime is how long operators and endpoints have to write again what a restored store has lost.
	rewriteTime = 2 * timekeeper.Second
	// entryLifetime is how long the store holds an entry that its endpoint does not renew, renewalTime how long gateways wait for
	// that.
	entryLifetime = 3 * timekeeper.Second
	renewalTime   = entryLifetime + timekeeper.Second
	// quietPeriod is the time without changes and faults after which gateways must know what the store holds.
	quietPeriod = removalBound + renewalTime
	// maxRetryWindow is the maximum window of the retry budget.
	maxRetryWindow = 8 * timekeeper.Second
)

// deployment holds the size and settings of a fleet.
type deployment struct {
	domainCount  int
	gatewayCount int
	services     []cataloguer.Service
	retryLimits  budgeter.RetryLimits
	loadMultiple float64
	maxRuns      int
}

// randomDeployment returns a deployment with random values.
func randomDeployment(c Chooser) deployment {
	d := deployment{
		domainCount:  1 + c(5),
		gatewayCount: 1 + c(12),
		retryLimits: budgeter.RetryLimits{
			Ratio:  float64(c(6)) / 10,
			Slack:  float64(5 + c(80)),
			Window: 2*timekeeper.Second + c.duration(maxRetryWindow-2*timekeeper.Second),
		},
		loadMultiple: 1.2 + float64(c(20))/10,
		maxRuns:      1 + c(4),
	}
	for n := range 1 + c(3) {
		s := cataloguer.Service{
			ID: model.ServiceID(fmt.Sprintf("service-%d", n)), IsEngine: c.oneIn(2), MaxColdRequestsPerSecond: float64(1 + c(30)),
		}
		if c.oneIn(2) {
			s.MaxConnections = d.gatewayCount * (1 + c(40))
		}
		d.services = append(d.services, s)
	}

	return d
}

// endpointState is the actual state of an endpoint, which gateways may not know yet.
type endpointState struct {
	service    model.ServiceID
	domain     model.DomainID
	isDraining bool
	// isDeleted means that the endpoint was removed without draining: its entry was deleted.
	isDeleted bool
	removedAt timekeeper.Millis
	coldUntil timekeeper.Millis
	// limit is what the endpoint advertises in its answers, nil if it advertises none.
	limit  *endpointLimit
	notice noticeState
	// coldArrivals are the times of the requests that reached the endpoint while it was cold.
	coldArrivals []timekeeper.Millis
}

// serviceTraffic holds the times of the requests and retries for a service.
type serviceTraffic struct {
	requests, retries []timekeeper.Millis
}

// gatewaySimulation simulates a store, endpoints and gateways on one virtual clock.
type gatewaySimulation struct {
	choose     Chooser
	variant    GatewayVariant
	deployment deployment
	now        timekeeper.Millis

	configuration  *cataloguer.Configuration
	store          fakeStore
	storeDownUntil timekeeper.Millis
	// restoresStore is true if the store comes back from its copy at storeDownUntil.
	restoresStore bool
	// storeCompleteAt is when operators and endpoints have written again all that the last restore lost.
	storeCompleteAt timekeeper.Millis
	scheduledWrites []scheduledWrite
	// entries holds the endpoint entries by the position of the store at which they were written.
	entries     map[replicator.Position]cataloguer.Endpoint
	endpoints   map[model.EndpointID]*endpointState
	endpointIDs []model.EndpointID
	// domainOutSince holds the failure domains that are out of service.
	domainOutSince map[model.DomainID]timekeeper.Millis
	// outages holds the start of the outage that was written at a position of the store.
	outages    map[replicator.Position]timekeeper.Millis
	gateways   []*gatewayProcess
	slowBodies []slowBody
	traffic    map[model.ServiceID]*serviceTraffic
	violation  *Violation
}

// RunGatewaySimulation sends requests to the gateways of a random deployment while operators change it and faults occur. It
// checks the choice of endpoints, refusals, retries and the load on cold endpoints.
func RunGatewaySimulation(c Chooser, variant GatewayVariant) *Violation {
	s := newGatewaySimulation(c, variant)
	for range gatewaySteps {
		s.now += stepInterval
		s.injectGatewayFaults()
		s.changeDeployment()
		s.stepStore()
		for _, g := range s.gateways {
			s.stepGateway(g)
		}
		s.finishBodies()
		for range c(4) {
			s.sendRequest()
		}
		if s.violation != nil {
			return s.violation
		}
	}
	s.checkRetryBudgets()
	s.checkQuietFleet()

	return s.violation
}

func newGatewaySimulation(c Chooser, variant GatewayVariant) *gatewaySimulation {
	d := randomDeployment(c)
	s := &gatewaySimulation{
		choose:         c,
		variant:        variant,
		deployment:     d,
		configuration:  cataloguer.NewConfiguration(1, cataloguer.Limits{}, nil, d.services, nil, false),
		store:          newFakeStore(),
		entries:        map[replicator.Position]cataloguer.Endpoint{},
		endpoints:      map[model.EndpointID]*endpointState{},
		domainOutSince: map[model.DomainID]timekeeper.Millis{},
		outages:        map[replicator.Position]timekeeper.Millis{},
		traffic:        map[model.ServiceID]*serviceTraffic{},
	}
	for _, service := range d.services {
		s.traffic[service.ID] = &serviceTraffic{}
		for range 1 + c(10) {
			s.addEndpoint(service.ID, 0)
		}
	}
	for n := range d.gatewayCount {
		s.gateways = append(s.gateways, s.startGateway(n, nil))
	}

	return s
}

func (s *gatewaySimulation) recordViolation(property, format string, arguments ...any) {
	if s.violation == nil {
		s.violation = &Violation{Property: property, Detail: fmt.Sprintf("at %d ms: ", s.now) + fmt.Sprintf(format, arguments...)}
	}
}

func (s *gatewaySimulation) addEndpoint(service model.ServiceID, coldDuration timekeeper.Millis) {
	id := model.EndpointID(fmt.Sprintf("endpoint-%d", len(s.endpointIDs)))
	domain := domainID(s.choose(s.deployment.domainCount))
	s.endpointIDs = append(s.endpointIDs, id)
	s.endpoints[id] = &endpointState{service: service, domain: domain, coldUntil: s.now + coldDuration, notice: newNoticeState()}
	s.writeEntry(id)
}

// writeEntry writes the entry of an endpoint to the store.
func (s *gatewaySimulation) writeEntry(id model.EndpointID) {
	state := s.endpoints[id]
	p := s.store.put(endpointKey(id))
	s.entries[p] = cataloguer.Endpoint{
		ID: id, Service: state.service, Domain: state.domain, Slots: 4,
		IsDraining: state.isDraining, ColdRemaining: max(state.coldUntil-s.now, 0),
	}
}

// changeDeployment adds or removes an endpoint, takes a failure domain out of service or back in, starts a store outage, lets the
// store keep a copy or come back from it, or lets an endpoint advertise a limit or none, say that it leaves, or ask for backoffs.
func (s *gatewaySimulation) changeDeployment() {
	c := s.choose
	switch c(60) {
	case 0:
		s.addEndpoint(s.deployment.services[c(len(s.deployment.services))].ID, 5*timekeeper.Second)
	case 1:
		s.removeEndpoint(s.endpointIDs[c(len(s.endpointIDs))], c.oneIn(2))
	case 2:
		s.toggleDomain(domainID(c(s.deployment.domainCount)))
	case 3:
		s.storeDownUntil = s.now + c.duration(4*timekeeper.Second)
	case 4:
		s.store.copy()
	case 5:
		s.startRestore()
	case 6:
		s.changeLimit(s.endpointIDs[c(len(s.endpointIDs))])
	case 7:
		s.changeNotice(s.endpointIDs[c(len(s.endpointIDs))])
	}
}

// removeEndpoint takes an endpoint out of use: it marks the entry as draining or deletes it.
func (s *gatewaySimulation) removeEndpoint(id model.EndpointID, setsDraining bool) {
	state := s.endpoints[id]
	if state.removedAt > 0 {
		return
	}
	state.removedAt = s.now
	state.isDraining = true
	if setsDraining {
		s.writeEntry(id)
	} else {
		state.isDeleted = true
		s.store.delete(endpointKey(id))
	}
}

// writeOutage writes to the store that a failure domain is out of service.
func (s *gatewaySimulation) writeOutage(d model.DomainID) {
	p := s.store.put(outageKey(d))
	s.outages[p] = s.domainOutSince[d]
}

func (s *gatewaySimulation) toggleDomain(d model.DomainID) {
	if _, isOut := s.domainOutSince[d]; isOut {
		delete(s.domainOutSince, d)
		s.store.delete(outageKey(d))
	} else {
		s.domainOutSince[d] = s.now
		s.writeOutage(d)
	}
}
