package budgeter

import (
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"

	"github.com/cespare/xxhash/v2"
)

// rank returns a gateway's position among all gateways by rendezvous hashing on an endpoint. All processes with the same gateways
// come to the same result.
func rank(id model.EndpointID, self string, gateways []string) int {
	seed := xxhash.Sum64String(string(id))
	own := hasher.Mix(seed ^ xxhash.Sum64String(self))
	position := 0
	for _, g := range gateways {
		if hasher.Mix(seed^xxhash.Sum64String(g)) < own {
			position++
		}
	}

	return position
}
