package balancer

import "cardamompulley/fleet/timekeeper"

// sample gives a request that may run again elsewhere to an endpoint that fails too many, once in a while; a session's
// request only to the first endpoint in its order, so that no prompt is read for the sake of the sample.
func (b *Balancer) sample(x survey, q Query, now timekeeper.Millis) *Choice {
	if !q.Repeatable || len(q.Tried) > 0 || len(x.doubted) == 0 {
		return nil
	}
	head := first(append(x.candidates[:len(x.candidates):len(x.candidates)], x.doubted...), func(*candidate) bool { return true })
	for _, d := range x.doubted {
		if q.Session != 0 && d.endpoint != head.endpoint {
			continue
		}
		if b.Grades.Sample(d.endpoint.ID, now) {
			return &Choice{Endpoint: d.endpoint, Reason: ReasonSample, Load: d.load, Mean: x.mean}
		}
	}

	return nil
}
