package prover

import (
	"slices"

	"cardamompulley/fleet/timekeeper"
)

const (
	// slowBodyShare is the number of requests of which one has a body that takes up to maxBodyTime to arrive.
	slowBodyShare = 10
	maxBodyTime   = 6 * timekeeper.Second
)

// slowBody is a request whose body is arriving.
type slowBody struct {
	request *gatewayRequest
	endsAt  timekeeper.Millis
}

// receiveBody sends a request at once, or later if its body is slow.
func (s *gatewaySimulation) receiveBody(r *gatewayRequest) {
	if !s.choose.oneIn(slowBodyShare) {
		s.sendAttempts(r)

		return
	}
	s.slowBodies = append(s.slowBodies, slowBody{request: r, endsAt: s.now + s.choose.duration(maxBodyTime)})
}

// finishBodies sends the requests whose bodies have arrived, unless their gateway has ended; one that is suspended goes on later.
func (s *gatewaySimulation) finishBodies() {
	due := slices.Clone(s.slowBodies)
	s.slowBodies = s.slowBodies[:0]
	for _, b := range due {
		g := b.request.gateway
		switch {
		case b.endsAt > s.now || g.pausedUntil > s.now:
			s.slowBodies = append(s.slowBodies, b)
		case slices.Contains(s.gateways, g) && g.view != nil:
			b.request.retryState.Deadline = s.now + timekeeper.Second
			s.sendAttempts(b.request)
		}
	}
}
