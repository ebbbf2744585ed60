package exchanger

import (
	"math/rand/v2"
	"slices"

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

// Pick returns the indexes of up to a number of different peers among the VMs other than self, to be tried in turn.
func (c Chooser) Pick(vms []model.VM, self string, most int) []int {
	var picked []int
	for range most {
		i := c.pickOne(vms, self, picked)
		if i < 0 {
			break
		}
		picked = append(picked, i)
	}

	return picked
}

func (c Chooser) pickOne(vms []model.VM, self string, taken []int) int {
	if len(vms) == 0 {
		return -1
	}
	wantSame := c.random.Float64() < sameDomainShare
	fallback := -1
	start := c.random.IntN(len(vms))
	for n := range vms {
		i := (start + n) % len(vms)
		if vms[i].ID == self || vms[i].Address == "" || slices.Contains(taken, i) {
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
