package quarantiner

import "cardamompulley/fleet/timekeeper"

// reachWindow is the time over which exchanges with other gateways are counted.
const reachWindow = 2 * timekeeper.Second

// exchangeResult is the end of an exchange with another gateway.
type exchangeResult struct {
	at        timekeeper.Millis
	succeeded bool
}

// Reach estimates which share of the fleet's gateways a gateway hears from, by how many of its exchanges succeed.
type Reach struct {
	results []exchangeResult
}

// RecordExchange records the end of an exchange, whichever side has started it.
func (r *Reach) RecordExchange(succeeded bool, now timekeeper.Millis) {
	r.expire(now)
	r.results = append(r.results, exchangeResult{at: now, succeeded: succeeded})
}

// Share returns the estimated share, counting the gateway itself, in a fleet of this many gateways. A gateway that should hear
// from others and has ended no exchange hears from none.
func (r *Reach) Share(gateways int, now timekeeper.Millis) float64 {
	if gateways <= 1 {
		return 1
	}
	r.expire(now)
	succeeded := 0
	for _, result := range r.results {
		if result.succeeded {
			succeeded++
		}
	}
	others := float64(succeeded) / float64(max(len(r.results), 1))

	return (1 + float64(gateways-1)*others) / float64(gateways)
}

func (r *Reach) expire(now timekeeper.Millis) {
	for len(r.results) > 0 && now-r.results[0].at > reachWindow {
		r.results = r.results[1:]
	}
}
