package placer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
)

// MaxCandidates is the number of endpoints at the head of a home order that are compared by load.
const MaxCandidates = 4

// Defaults for services that declare no bounds. DefaultAdmissionBound is a multiple of the mean load,
// DefaultLoadFloor a number of running requests.
const (
	DefaultAdmissionBound = 1.5
	DefaultLoadFloor      = 4
)

// Member is an endpoint of a group. Index is its position in the endpoint order of the configuration.
type Member struct {
	Index  int
	ID     model.EndpointID
	Domain model.DomainID

	idHash    uint64
	weight    float64
	isEnabled bool
}

// Group is the set of declared endpoints that can serve one model and adapter of a service. AdmissionBound is the load
// limit as a multiple of the mean load; LoadFloor is the lowest limit, in running requests.
type Group struct {
	Members        []Member
	AdmissionBound float64
	LoadFloor      int

	hasWeights bool
}

// GroupKey identifies a group. An empty Model or Adapter matches every endpoint of the service.
type GroupKey struct {
	Service model.ServiceID
	Model   model.ModelID
	Adapter model.AdapterID
}

// NewGroup returns the group of the declared endpoints that match a key.
func NewGroup(s *configurator.Snapshot, key GroupKey) *Group {
	service := s.Fleet.Services[key.Service]
	g := &Group{AdmissionBound: service.AdmissionBound, LoadFloor: service.LoadFloor}
	if g.AdmissionBound == 0 {
		g.AdmissionBound = defaultAdmissionBound(service.LoadBound)
	}
	if g.LoadFloor == 0 {
		g.LoadFloor = DefaultLoadFloor
	}
	for i, id := range s.Endpoints {
		e := s.Fleet.Endpoints[id]
		if e.Service != key.Service || !canServe(e, key) {
			continue
		}
		g.add(i, id, e, s.Fleet.Domains[e.Domain].State == model.DomainInService)
	}

	return g
}

// defaultAdmissionBound returns the default admission bound, capped by the declared load bound.
func defaultAdmissionBound(declaredLoadBound float64) float64 {
	if declaredLoadBound == 0 {
		return DefaultAdmissionBound
	}

	return min(DefaultAdmissionBound, declaredLoadBound)
}

func canServe(e model.Endpoint, key GroupKey) bool {
	if key.Model != "" && !slices.Contains(e.Models, key.Model) {
		return false
	}

	return key.Adapter == "" || slices.Contains(e.Adapters, key.Adapter)
}

func (g *Group) add(index int, id model.EndpointID, e model.Endpoint, isDomainIn bool) {
	weight := e.Weight
	if weight == 0 {
		weight = 1
	}
	if weight != 1 {
		g.hasWeights = true
	}
	g.Members = append(g.Members, Member{
		Index:     index,
		ID:        id,
		Domain:    e.Domain,
		idHash:    xxhash.Sum64String(string(id)),
		weight:    weight,
		isEnabled: isDomainIn && !e.IsDraining,
	})
}

// IndexOf returns the position of an endpoint in Members, or NoMember.
func (g *Group) IndexOf(id model.EndpointID) int {
	for m := range g.Members {
		if g.Members[m].ID == id {
			return m
		}
	}

	return -1
}

// score returns the rendezvous hashing score of a member for a chat; the highest score ranks first. Without weights the
// hash itself gives the same order and saves the logarithm.
func (g *Group) score(m *Member, chat model.ChatKey) float64 {
	h := hasher.Mix(uint64(chat) ^ m.idHash)
	if !g.hasWeights {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)

	return -m.weight / math.Log(u)
}
