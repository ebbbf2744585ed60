package balancer

import (
	"cmp"
	"slices"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/hasher"
	"cardamompulley/fleet/locator"
	"cardamompulley/fleet/timekeeper"
)

// LikelyEndpoints returns the endpoints to which gateways have sent a request most likely, count at most: those that hold its
// session's prompt, then those that rank first for the session by rendezvous hashing. It leaves out those that have asked for a backoff.
func (b *Balancer) LikelyEndpoints(v *cataloguer.View, r Request, count int, now timekeeper.Millis) []*cataloguer.Endpoint {
	endpoints := slices.DeleteFunc(slices.Clone(v.Endpoints(r.Service)), func(e *cataloguer.Endpoint) bool {
		return b.Notices.BackoffLeft(e.Process(), now) > 0
	})
	holders := b.holders.Holders(locator.HashPart(r.Session), now)
	rank := func(e *cataloguer.Endpoint) int {
		if contains(holders, e.ID) {
			return 0
		}

		return 1
	}
	score := func(e *cataloguer.Endpoint) uint64 { return hasher.Mix(r.Session ^ b.state(e.ID).seed) }
	slices.SortFunc(endpoints, func(x, y *cataloguer.Endpoint) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(score(y), score(x)))
	})

	return endpoints[:min(count, len(endpoints))]
}
