package exchanger

import (
	"math/rand/v2"
	"slices"

	"cardamompulley/fleet/model"
)

const sameDomainProbability = 0.7

// PeerSelector selects random peers to exchange loads with, most of them in its own failure domain.
type PeerSelector struct {
	domain model.DomainID
	random *rand.Rand
}

// NewPeerSelector returns a selector for a process in a failure domain, with its own source of randomness.
func NewPeerSelector(domain model.DomainID, random *rand.Rand) PeerSelector {
	return PeerSelector{domain: domain, random: random}
}

// Select returns the indexes in vms of up to limit different peers, in the order in which to try them. It skips self and
// VMs without an address.
func (s PeerSelector) Select(vms []model.VM, self string, limit int) []int {
	var selected []int
	for range limit {
		i := s.selectOne(vms, self, selected)
		if i < 0 {
			break
		}
		selected = append(selected, i)
	}

	return selected
}

// selectOne returns the index of a peer that is not selected yet, or -1. It prefers the own failure domain with
// sameDomainProbability, otherwise another one, and falls back to any peer.
func (s PeerSelector) selectOne(vms []model.VM, self string, selected []int) int {
	if len(vms) == 0 {
		return -1
	}
	wantSame := s.random.Float64() < sameDomainProbability
	fallback := -1
	start := s.random.IntN(len(vms))
	for n := range vms {
		i := (start + n) % len(vms)
		if vms[i].ID == self || vms[i].Address == "" || slices.Contains(selected, i) {
			continue
		}
		if (vms[i].Domain == s.domain) == wantSame {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}

	return fallback
}
