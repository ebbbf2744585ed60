package deduplicator

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/model"
)

// Key identifies one piece of work that may run at most once.
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

// Home returns the endpoint of a generation that alone may run a key, whether it is alive or not.
func Home(g model.HomeGeneration, k Key) model.EndpointID {
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

// Newest returns the newest generation of a service, false when it declares none.
func Newest(homes []model.HomeGeneration) (model.HomeGeneration, bool) {
	if len(homes) == 0 {
		return model.HomeGeneration{}, false
	}

	return homes[len(homes)-1], true
}

type predecessors struct {
	ask     []model.EndpointID
	stopped []stop
}

type stop struct {
	generation uint64
	endpoint   model.EndpointID
}

func findPredecessors(homes []model.HomeGeneration, k Key, self model.EndpointID) predecessors {
	var found predecessors
	for _, g := range homes[:len(homes)-1] {
		h := Home(g, k)
		if h == self {
			continue
		}
		if slices.Contains(g.Stopped, h) {
			found.stopped = append(found.stopped, stop{generation: g.Number, endpoint: h})

			continue
		}
		if !slices.Contains(found.ask, h) {
			found.ask = append(found.ask, h)
		}
	}

	return found
}
