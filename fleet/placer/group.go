package placer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
)

// Choices is how many candidates at the head of a home order are weighed against each other.
const Choices = 4

// Default bounds of a service that declares none.
const (
	DefaultAdmissionBound = 1.5
	DefaultLoadFloor      = 4
)

// Member is one endpoint of a group.
type Member struct {
	Index  int
	ID     model.EndpointID
	Domain model.DomainID

	seed   uint64
	weight float64
	in     bool
}

// Group is the set of declared endpoints that can serve one model and adapter of a service.
type Group struct {
	Members []Member
	Bound   float64
	Floor   int

	weighted bool
}

// GroupKey identifies a group.
type GroupKey struct {
	Service model.ServiceID
	Model   model.ModelID
	Adapter model.AdapterID
}

// NewGroup collects the declared members that can serve a key.
func NewGroup(s *configurator.Snapshot, key GroupKey) *Group {
	service := s.Fleet.Services[key.Service]
	g := &Group{Bound: service.AdmissionBound, Floor: service.LoadFloor}
	if g.Bound == 0 {
		g.Bound = defaultBound(service.LoadBound)
	}
	if g.Floor == 0 {
		g.Floor = DefaultLoadFloor
	}
	for i, id := range s.Endpoints {
		e := s.Fleet.Endpoints[id]
		if e.Service != key.Service || !serves(e, key) {
			continue
		}
		g.add(i, id, e, s.Fleet.Domains[e.Domain].State == model.DomainIn)
	}

	return g
}

// defaultBound keeps under a declared load bound that is lower than the default.
func defaultBound(declared float64) float64 {
	if declared == 0 {
		return DefaultAdmissionBound
	}

	return min(DefaultAdmissionBound, declared)
}

func serves(e model.Endpoint, key GroupKey) bool {
	if key.Model != "" && !slices.Contains(e.Models, key.Model) {
		return false
	}

	return key.Adapter == "" || slices.Contains(e.Adapters, key.Adapter)
}

func (g *Group) add(index int, id model.EndpointID, e model.Endpoint, domainIn bool) {
	weight := e.Weight
	if weight == 0 {
		weight = 1
	}
	if weight != 1 {
		g.weighted = true
	}
	g.Members = append(g.Members, Member{
		Index:  index,
		ID:     id,
		Domain: e.Domain,
		seed:   xxhash.Sum64String(string(id)),
		weight: weight,
		in:     domainIn && !e.Leaving,
	})
}

// Find returns the place of an endpoint among the members, or -1.
func (g *Group) Find(id model.EndpointID) int {
	for m := range g.Members {
		if g.Members[m].ID == id {
			return m
		}
	}

	return -1
}

func (g *Group) score(m *Member, chat model.ChatKey) float64 {
	h := hasher.Mix(uint64(chat) ^ m.seed)
	if !g.weighted {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)

	return -m.weight / math.Log(u)
}
