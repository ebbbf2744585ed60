package prioritizer

import "math"

// promotedShare is the share of less urgent requests that is promoted while a service is short.
const promotedShare = 0.1

// rotation picks a share of the requests of a priority. It adds the golden ratio for each request, so that the picks are spread evenly
// over any regular pattern of requests and each account and session among them gets its part.
type rotation struct {
	position float64
}

// next reports whether the next request is picked.
func (r *rotation) next() bool {
	r.position += math.Phi
	r.position -= math.Floor(r.position)

	return r.position < promotedShare
}
