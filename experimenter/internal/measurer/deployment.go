package measurer

import (
	"fmt"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Deployment is the size of a simulated fleet and its workload.
//
// Endpoints is the number of engine endpoints, which the configuration names runner-0000 and so on. Chats is the number of
// recurring chats, PrefixCacheChats the number of chats that the prefix cache of an endpoint holds. The simulation does not
// use Accounts.
type Deployment struct {
	Name              string
	Domains           int
	Endpoints         int
	Routers           int
	Chats             int
	PrefixCacheChats  int
	RequestsPerSecond float64
	DurationSeconds   int
	Accounts          int
}

// Deployments returns the two fleets in production and the target size.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "song-hong", Domains: 4, Endpoints: 12, Routers: 3, Chats: 2_400, PrefixCacheChats: 260,
			RequestsPerSecond: 40, DurationSeconds: 240, Accounts: 10,
		},
		{
			Name: "steppe", Domains: 3, Endpoints: 18, Routers: 3, Chats: 3_600, PrefixCacheChats: 260,
			RequestsPerSecond: 60, DurationSeconds: 240, Accounts: 10,
		},
		{
			Name: "target", Domains: 5, Endpoints: 840, Routers: 410, Chats: 168_000, PrefixCacheChats: 260,
			RequestsPerSecond: 3_200, DurationSeconds: 60, Accounts: 48_000,
		},
	}
}

const (
	serviceID = model.ServiceID("llm")
	modelID   = model.ModelID("m")

	// Decode times follow a log-normal distribution with this median and this standard deviation of the logarithm.
	medianDecodeTime = 1_900 * timekeeper.Millis(1)
	decodeTimeSigma  = 0.8
	// Prefill times on a miss and on a hit in the prefix cache, and the uncached prompt tokens on a miss.
	missPrefillTime    = 600 * timekeeper.Millis(1)
	hitPrefillTime     = 40 * timekeeper.Millis(1)
	missUncachedTokens = model.Tokens(2_000)
	// zipfExponent and zipfOffset shape the popularity of recurring chats.
	zipfExponent = 1.05
	zipfOffset   = 20
	// One request in requestsPerNewChat starts a chat that does not recur.
	requestsPerNewChat = 10
	maxRunning         = 64
	// declaredLoadBound is the load bound of the service, as a multiple of the mean load; loadFloor is its lowest limit, in
	// running requests.
	declaredLoadBound = 2.0
	loadFloor         = 4
)

// newSnapshot returns the configuration of the deployment with an admission bound.
func (d Deployment) newSnapshot(admissionBound float64) (*configurator.Snapshot, error) {
	document := model.Document{Fleet: model.Fleet{
		Domains: map[model.DomainID]model.Domain{},
		Services: map[model.ServiceID]model.Service{serviceID: {
			Kind: model.KindEngine, AdmissionBound: admissionBound, LoadBound: max(declaredLoadBound, admissionBound), LoadFloor: loadFloor,
		}},
		Endpoints: map[model.EndpointID]model.Endpoint{},
	}}
	for n := range d.Domains {
		document.Fleet.Domains[d.domainID(n)] = model.Domain{State: model.DomainInService}
	}
	for n := range d.Endpoints {
		document.Fleet.Endpoints[model.EndpointID(fmt.Sprintf("runner-%04d", n))] = model.Endpoint{
			Service: serviceID, Domain: d.domainID(n), Models: []model.ModelID{modelID},
			Address: fmt.Sprintf("127.0.%d.%d:1000", n/250, n%250+1), MaxRunning: maxRunning,
		}
	}
	version, err := configurator.EncodeVersion(1, document)
	if err != nil {
		return nil, err
	}

	return configurator.NewSnapshot(version.Manifest, version.Values, configurator.AllParts)
}

func (d Deployment) domainID(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("domain-%d", n%d.Domains))
}
