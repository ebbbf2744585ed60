package deduplicator

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
)

// Key identifies a request that may run at most once: a client account's idempotency key at a service.
type Key struct {
	Account model.AccountID
	Service model.ServiceID
	Key     model.IdempotencyKey
}

func (k Key) hash() uint64 {
	d := xxhash.New()
	for _, s := range []string{string(k.Account), string(k.Service), string(k.Key)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}

	return d.Sum64()
}

// HomeEndpoint returns the only endpoint of a generation that may run a key, by rendezvous hashing. It depends only on the
// declared endpoints, not on their health. It returns an empty ID if the generation has no endpoints.
func HomeEndpoint(g model.HomeGeneration, k Key) model.EndpointID {
	var best model.EndpointID
	var bestScore uint64
	keyHash := k.hash()
	for _, e := range g.Endpoints {
		score := hasher.Mix(keyHash ^ xxhash.Sum64String(string(e)))
		if best == "" || score > bestScore || (score == bestScore && e < best) {
			best = e
			bestScore = score
		}
	}

	return best
}

// NewestGeneration returns the newest home generation of a service, and false if it declares none.
func NewestGeneration(homes []model.HomeGeneration) (model.HomeGeneration, bool) {
	if len(homes) == 0 {
		return model.HomeGeneration{}, false
	}

	return homes[len(homes)-1], true
}

// earlierHomes are the other endpoints that were the home of a key in earlier generations.
type earlierHomes struct {
	toAsk   []model.EndpointID
	stopped []stoppedHome
}

type stoppedHome struct {
	generation uint64
	endpoint   model.EndpointID
}

func findEarlierHomes(homes []model.HomeGeneration, k Key, self model.EndpointID) earlierHomes {
	var found earlierHomes
	for _, g := range homes[:len(homes)-1] {
		h := HomeEndpoint(g, k)
		if h == self {
			continue
		}
		if slices.Contains(g.StoppedEndpoints, h) {
			found.stopped = append(found.stopped, stoppedHome{generation: g.Number, endpoint: h})

			continue
		}
		if !slices.Contains(found.toAsk, h) {
			found.toAsk = append(found.toAsk, h)
		}
	}

	return found
}
