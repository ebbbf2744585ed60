package prover

import (
	"fmt"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// restart starts a new process on a node, without a configuration.
func (s *configurationSimulation) restart(n *processNode) {
	n.acceptor = configurator.NewAcceptor(configurator.AllParts, s.now)
	n.pausedUntil = 0
	n.highestSinceStart = 0
	n.highestFromPeers = 0
	n.currentVersion = 0
	n.acceptedAt = map[model.Version]timekeeper.Millis{}
	n.startedAt = s.now
	n.reachableSince = s.now
	n.resumedAt = s.now
	n.vmListReadAt = 0
	n.isVMDraining = false
	s.log("node %d starts", n.number)
}

func (s *configurationSimulation) injectFault() {
	n := s.nodes[s.choose(len(s.nodes))]
	switch s.choose(8) {
	case 0:
		s.restart(n)
	case 1:
		n.pausedUntil = s.now + s.choose.duration(20*timekeeper.Second)
		n.resumedAt = n.pausedUntil
		n.reachableSince = n.pausedUntil
		s.log("node %d pauses until %d", n.number, n.pausedUntil-simulationStart)
	case 2:
		s.changePartition(n)
	case 3:
		s.serviceState = s.choose(3)
		s.log("configuration service is %s", [...]string{"good", "stale", "down"}[s.serviceState])
	case 4, 5:
		s.applyConcurrentPatches()
	case 6:
		s.publishInvalid()
	case 7:
		s.toggleDraining(n)
	}
}

// changePartition moves a node to a random side of the network partition. Nodes on different sides cannot reach each other.
func (s *configurationSimulation) changePartition(n *processNode) {
	n.partition = s.choose(partitionCount)
	for _, other := range s.nodes {
		other.reachableSince = max(other.reachableSince, s.now)
		other.partitionChangedAt = s.now
	}
	s.log("node %d is on side %d of the partition", n.number, n.partition)
}

// applyConcurrentPatches lets two operators patch the same version. Only the first patch is accepted.
func (s *configurationSimulation) applyConcurrentPatches() {
	base := s.latestValidVersion()
	for range 2 {
		d := domainID(s.choose(processCount))
		state := model.DomainOutOfService
		if s.document.Fleet.Domains[d].State == model.DomainOutOfService {
			state = model.DomainInService
		}
		merge := fmt.Sprintf(`{"fleet": {"domains": {%q: {"state": %q}}}}`, d, state)
		next, err := configurator.Apply(s.document, s.latestValidVersion(), configurator.Patch{BaseVersion: base, Merge: []byte(merge)})
		if err != nil {
			s.log("operator's patch rejected: %v", err)

			continue
		}
		s.document = next
		s.publish(next, true)
		delete(s.outages, d)
		if state == model.DomainOutOfService {
			s.outages[d] = outage{since: s.now, version: s.latestValidVersion()}
		}
	}
}

// latestValidVersion returns the newest valid version published, or zero if there is none.
func (s *configurationSimulation) latestValidVersion() model.Version {
	for i := len(s.published) - 1; i >= 0; i-- {
		if s.isValid[i] {
			return s.published[i].Version
		}
	}

	return 0
}

// publishInvalid publishes a version that fails validation, which no process may put in force.
func (s *configurationSimulation) publishInvalid() {
	invalid := s.document
	invalid.Fleet.Domains = map[model.DomainID]model.Domain{"d0": {State: "sideways"}}
	s.publish(invalid, false)
}

// toggleDraining marks the VM of a node as draining in the VM list, or removes the mark.
func (s *configurationSimulation) toggleDraining(n *processNode) {
	if _, isDraining := s.drainingSince[n.number]; isDraining {
		delete(s.drainingSince, n.number)

		return
	}
	s.drainingSince[n.number] = s.now
	s.log("node %d is draining in the VM list", n.number)
}
