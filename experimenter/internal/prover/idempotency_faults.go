package prover

import (
	"slices"

	"cardamompulley/fleet/model"
)

func (s *idempotencySimulation) injectFault() {
	n := s.nodes[s.choose(len(s.nodes))]
	switch s.choose(6) {
	case 0, 1:
		s.killOrRestart(n)
	case 2:
		maxJump := maxClockJumps[s.choose(len(maxClockJumps))]
		jump := s.choose.duration(2*maxJump) - maxJump
		n.clock.StepWall(jump)
		n.clockOffset += jump
		s.log("%s clock jumps by %d ms", n.id, jump)
	case 3:
		s.publishGeneration()
	case 4:
		s.decommission(n)
	case 5:
		n.deduplicator.Evict(maxKeyedRequests)
	}
}

func (s *idempotencySimulation) killOrRestart(n *sidecarNode) {
	if n.isUp {
		n.isUp = false
		s.log("%s killed", n.id)

		return
	}
	if !n.isDecommissioned {
		s.startSidecar(n)
		s.log("%s restarted on version %d", n.id, n.version)
	}
}

// publishGeneration publishes a configuration that moves the homes of keys to a random subset of the endpoints
// that are not decommissioned.
func (s *idempotencySimulation) publishGeneration() {
	newest := s.versions[len(s.versions)-1]
	var remaining []model.EndpointID
	for _, n := range s.nodes {
		if !n.isDecommissioned {
			remaining = append(remaining, n.id)
		}
	}
	next := slices.Clone(newest)
	next = append(next, model.HomeGeneration{
		Number: newest[len(newest)-1].Number + 1, Endpoints: s.randomSubset(remaining),
	})
	s.versions = append(s.versions, next)
	s.log("published %v", next)
}

// decommission stops a VM for good and then publishes a configuration that declares its endpoint as stopped. Operators must
// keep to this order.
func (s *idempotencySimulation) decommission(n *sidecarNode) {
	decommissioned := 0
	for _, other := range s.nodes {
		if other.isDecommissioned {
			decommissioned++
		}
	}
	if n.isDecommissioned || decommissioned >= sidecarCount-2 {
		return
	}
	n.isDecommissioned = true
	n.isUp = false
	next := slices.Clone(s.versions[len(s.versions)-1])
	for i := range next {
		if slices.Contains(next[i].Endpoints, n.id) && i < len(next) {
			next[i].StoppedEndpoints = append(slices.Clone(next[i].StoppedEndpoints), n.id)
		}
	}
	s.versions = append(s.versions, next)
	s.log("%s decommissioned, published %v", n.id, next)
}
