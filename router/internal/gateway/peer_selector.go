package gateway

import (
	"math/rand/v2"
	"slices"
)

const (
	// sameDomainWeight is the factor by which gateways in this gateway's failure domain get more exchanges than their share
	// of the fleet, because traffic between domains is billed. maxSameDomainShare limits the fraction of all exchanges that
	// they get.
	sameDomainWeight   = 2
	maxSameDomainShare = 0.7
)

// peerSelector selects the gateway for the next exchange: it chooses at random between this gateway's failure domain and the
// others, and goes round-robin within each.
type peerSelector struct {
	sameDomain, otherDomains []string
	// random returns a number in [0, 1).
	random func() float64
}

func newPeerSelector() *peerSelector {
	return &peerSelector{random: rand.Float64}
}

// add adds a gateway; until its failure domain is known it counts among the other domains.
func (s *peerSelector) add(address string) {
	s.otherDomains = append(s.otherDomains, address)
}

// markSameDomain moves a gateway from the other failure domains to this gateway's own.
func (s *peerSelector) markSameDomain(address string) {
	if i := slices.Index(s.otherDomains, address); i >= 0 {
		s.otherDomains = slices.Delete(s.otherDomains, i, i+1)
		s.sameDomain = append(s.sameDomain, address)
	}
}

// sameDomainGateways returns the gateways that are known to be in this gateway's failure domain.
func (s *peerSelector) sameDomainGateways() []string {
	return slices.Clone(s.sameDomain)
}

func (s *peerSelector) remove(address string) {
	matches := func(other string) bool { return other == address }
	s.sameDomain = slices.DeleteFunc(s.sameDomain, matches)
	s.otherDomains = slices.DeleteFunc(s.otherDomains, matches)
}

// next returns the address of the gateway to select, or an empty string if none is known.
func (s *peerSelector) next() string {
	all := len(s.sameDomain) + len(s.otherDomains)
	if all == 0 {
		return ""
	}
	share := min(sameDomainWeight*float64(len(s.sameDomain))/float64(all), maxSameDomainShare)
	queue := &s.otherDomains
	if len(s.otherDomains) == 0 || (len(s.sameDomain) > 0 && s.random() < share) {
		queue = &s.sameDomain
	}
	address := (*queue)[0]
	*queue = append((*queue)[1:], address)

	return address
}
