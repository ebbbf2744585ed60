package exchanger

import (
	"math/rand/v2"

	"cardamompulley/fleet/model"
)

const sameDomainShare = 0.7

// Chooser picks the peer of the next exchange, mostly inside the own failure domain.
type Chooser struct {
	domain model.DomainID
	random *rand.Rand
}

// NewChooser returns a chooser with its own random source.
func NewChooser(domain model.DomainID, random *rand.Rand) Chooser {
	return Chooser{domain: domain, random: random}
}

// Pick returns the index of a peer among the VMs other than self, or -1 when there is none.
func (c Chooser) Pick(vms []model.VM, self string) int {
	wantSame := c.random.Float64() < sameDomainShare
	fallback := -1
	start := 0
	if len(vms) > 0 {
		start = c.random.IntN(len(vms))
	}
	for n := range vms {
		i := (start + n) % len(vms)
		if vms[i].ID == self || vms[i].Address == "" {
			continue
		}
		if (vms[i].Domain == c.domain) == wantSame {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}

	return fallback
}
