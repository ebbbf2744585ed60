package gateway

import (
	"math/rand/v2"
	"slices"
)

const (
	// nearWeight is how many times as often as others gateways of the own failure domain are asked, since traffic between
	// domains is paid for, and nearMost the largest share of the trades that go to them.
	nearWeight = 2
	nearMost   = 0.7
)

// turns says which gateway is asked next: those of the own failure domain and the others, each in their turn.
type turns struct {
	near, far []string
	// chance returns a number in [0, 1).
	chance func() float64
}

func newTurns() *turns {
	return &turns{chance: rand.Float64}
}

// add takes a gateway in; until it has told its failure domain it is one of the others.
func (t *turns) add(address string) {
	t.far = append(t.far, address)
}

// found notes that a gateway is in the own failure domain.
func (t *turns) found(address string) {
	if i := slices.Index(t.far, address); i >= 0 {
		t.far = slices.Delete(t.far, i, i+1)
		t.near = append(t.near, address)
	}
}

// drop forgets a gateway.
func (t *turns) drop(address string) {
	same := func(other string) bool { return other == address }
	t.near = slices.DeleteFunc(t.near, same)
	t.far = slices.DeleteFunc(t.far, same)
}

// next returns the gateway whose turn it is, empty when none is known.
func (t *turns) next() string {
	all := len(t.near) + len(t.far)
	if all == 0 {
		return ""
	}
	share := min(nearWeight*float64(len(t.near))/float64(all), nearMost)
	from := &t.far
	if len(t.far) == 0 || (len(t.near) > 0 && t.chance() < share) {
		from = &t.near
	}
	address := (*from)[0]
	*from = append((*from)[1:], address)

	return address
}
