package measurer

import (
	"fmt"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Deployment is the size of a fleet and of its work.
type Deployment struct {
	Name       string
	Domains    int
	Runners    int
	Routers    int
	Chats      int
	CacheChats int
	PerSecond  float64
	Seconds    int
	Accounts   int
}

// Deployments are the users' two fleets of today and the target size.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "song-hong", Domains: 4, Runners: 12, Routers: 3, Chats: 2_400, CacheChats: 260, PerSecond: 40, Seconds: 240, Accounts: 10},
		{Name: "steppe", Domains: 3, Runners: 18, Routers: 3, Chats: 3_600, CacheChats: 260, PerSecond: 60, Seconds: 240, Accounts: 10},
		{Name: "target", Domains: 5, Runners: 840, Routers: 410, Chats: 168_000, CacheChats: 260, PerSecond: 3_200, Seconds: 60, Accounts: 48_000},
	}
}

const (
	service   = model.ServiceID("llm")
	modelName = model.ModelID("m")

	medianDecode  = 1_900 * timekeeper.Millis(1)
	decodeSpread  = 0.8
	missPrefill   = 600 * timekeeper.Millis(1)
	hitPrefill    = 40 * timekeeper.Millis(1)
	missTokens    = model.Tokens(2_000)
	zipfExponent  = 1.05
	zipfOffset    = 20
	newChatShare  = 10
	maxRunning    = 64
	declaredBound = 2.0
	loadFloor     = 4
)

// snapshot returns the configuration of a deployment at an admission bound.
func (d Deployment) snapshot(bound float64) (*configurator.Snapshot, error) {
	document := model.Document{Fleet: model.Fleet{
		Domains: map[model.DomainID]model.Domain{},
		Services: map[model.ServiceID]model.Service{service: {
			Kind: model.KindEngine, AdmissionBound: bound, LoadBound: max(declaredBound, bound), MinLoadLimit: loadFloor,
		}},
		Endpoints: map[model.EndpointID]model.Endpoint{},
	}}
	for n := range d.Domains {
		document.Fleet.Domains[d.domain(n)] = model.Domain{State: model.DomainInService}
	}
	for n := range d.Runners {
		document.Fleet.Endpoints[model.EndpointID(fmt.Sprintf("runner-%04d", n))] = model.Endpoint{
			Service: service, Domain: d.domain(n), Models: []model.ModelID{modelName},
			Address: fmt.Sprintf("127.0.%d.%d:1000", n/250, n%250+1), MaxRunning: maxRunning,
		}
	}
	published, err := configurator.EncodeVersion(1, document)
	if err != nil {
		return nil, err
	}

	return configurator.NewSnapshot(published.Manifest, published.Values, configurator.AllParts)
}

func (d Deployment) domain(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("domain-%d", n%d.Domains))
}
