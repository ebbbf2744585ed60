package prover

import (
	"fmt"
	"math/rand/v2"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// ConfigurationVariant disables mechanisms that keep processes on the newest configuration. The zero value is the product as
// it is.
type ConfigurationVariant struct {
	// AcceptsAnyVersion puts lower versions in force too.
	AcceptsAnyVersion bool
	// SkipsReadinessGate serves without waiting for confirmation that the configuration is current.
	SkipsReadinessGate bool
	// SkipsReadinessAfterPause serves whenever a configuration is in force, also right after a pause.
	SkipsReadinessAfterPause bool
	// SkipsAdmissionGate accepts every request that a router sends.
	SkipsAdmissionGate bool
	// SkipsValidation has no effect.
	SkipsValidation bool
}

const (
	configurationTicks = 240
	tickInterval       = 250 * timekeeper.Millis(1)
	processCount       = 6
	// partitionCount is the number of sides of a network partition.
	partitionCount = 2
	// convergenceBound is the time after the last fault within which all nodes must hold the newest version.
	convergenceBound = 15 * timekeeper.Second
	// drainBound is the time within which an endpoint must refuse requests after its failure domain was taken out of service
	// or its VM started to drain.
	drainBound     = 10 * timekeeper.Second
	vmListInterval = 3 * timekeeper.Second
	maxSeed        = 1 << 30
	never          = timekeeper.Millis(1 << 62)
	// servicePollers is the number of nodes that read the configuration service in every round.
	servicePollers = 2
	// sufficientHolders is the number of reachable nodes that must hold a version for the checks to require it of a node
	// right after a start or a pause.
	sufficientHolders = 3
)

// processNode is one process, with an endpoint in a failure domain of its own.
type processNode struct {
	number   int
	acceptor *configurator.Acceptor
	// partition is the node's side of the network partition.
	partition    int
	pausedUntil  timekeeper.Millis
	nextRound    timekeeper.Millis
	vmListReadAt timekeeper.Millis
	// isVMDraining is whether the node's VM was draining when the node last read the VM list.
	isVMDraining bool
	// reachableSince is the latest of the node's start, the end of its last pause and the last change of the partition.
	reachableSince timekeeper.Millis
	// resumedAt is the end of the last pause, which may lie in the future, or the start if that is later.
	resumedAt timekeeper.Millis
	// highestSinceStart is the highest version in force since the start, highestEver also before it. highestFromPeers is the
	// highest version of a peer that the node has contacted since the start.
	highestSinceStart  model.Version
	highestFromPeers   model.Version
	currentVersion     model.Version
	highestEver        model.Version
	partitionChangedAt timekeeper.Millis
	startedAt          timekeeper.Millis
	// acceptedAt is the time at which each version was first in force since the start.
	acceptedAt map[model.Version]timekeeper.Millis
}

// outage is the period during which a failure domain is out of service. Version is the configuration version that started
// it.
type outage struct {
	since   timekeeper.Millis
	version model.Version
}

// configurationSimulation simulates processes that follow the configuration service and exchange configurations.
type configurationSimulation struct {
	choose  Chooser
	variant ConfigurationVariant
	now     timekeeper.Millis
	// rng is seeded by one choice. It selects peers and the rounds in which nodes read the configuration service.
	rng          *rand.Rand
	peerSelector exchanger.PeerSelector
	vms          []model.VM
	nodes        []*processNode
	published    []configurator.EncodedVersion
	// isValid states for each published version whether it is valid.
	isValid  []bool
	document model.Document
	outages  map[model.DomainID]outage
	// drainingSince holds the nodes whose VM is draining.
	drainingSince map[int]timekeeper.Millis
	// serviceState is 0 if the configuration service is good, 1 if it may return old versions and 2 if it is down.
	serviceState int
	history      []string
	violation    *Violation
}

// RunConfigurationSimulation checks that no process puts an older or invalid version in force or serves on one, that
// endpoints accept no requests while they must drain, and that all processes hold the newest version soon after the last
// fault.
func RunConfigurationSimulation(c Chooser, variant ConfigurationVariant) *Violation {
	s := newConfigurationSimulation(c, variant)
	for range configurationTicks {
		s.tick(true)
		if s.violation != nil {
			break
		}
	}
	s.checkConvergence()
	if s.violation != nil {
		s.violation.History = s.history
	}

	return s.violation
}

func newConfigurationSimulation(c Chooser, variant ConfigurationVariant) *configurationSimulation {
	s := &configurationSimulation{
		choose: c, variant: variant, now: simulationStart,
		outages:       map[model.DomainID]outage{},
		drainingSince: map[int]timekeeper.Millis{},
	}
	seed := uint64(c(maxSeed))
	s.rng = rand.New(rand.NewPCG(seed, seed))
	s.peerSelector = exchanger.NewPeerSelector("", s.rng)
	s.document = model.Document{Fleet: model.Fleet{
		Domains:   map[model.DomainID]model.Domain{},
		Services:  map[model.ServiceID]model.Service{"s": {Kind: model.KindPlain}},
		Endpoints: map[model.EndpointID]model.Endpoint{},
	}}
	for n := range processCount {
		s.document.Fleet.Domains[domainID(n)] = model.Domain{State: model.DomainInService}
		s.document.Fleet.Endpoints[endpointID(n)] = model.Endpoint{
			Service: "s", Domain: domainID(n), Address: fmt.Sprintf("127.0.0.1:%d", n+1),
		}
	}
	s.publish(s.document, true)
	for n := range processCount {
		s.vms = append(s.vms, model.VM{ID: string(endpointID(n)), Address: "peer"})
		node := &processNode{number: n}
		s.nodes = append(s.nodes, node)
		s.restart(node)
	}

	return s
}

func domainID(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("d%d", n))
}

func endpointID(n int) model.EndpointID {
	return model.EndpointID(fmt.Sprintf("e%d", n))
}

func (s *configurationSimulation) log(format string, arguments ...any) {
	s.history = append(s.history, fmt.Sprintf("%d ", s.now-simulationStart)+fmt.Sprintf(format, arguments...))
}

func (s *configurationSimulation) recordViolation(property, format string, arguments ...any) {
	if s.violation == nil {
		s.violation = &Violation{Property: property, Detail: fmt.Sprintf(format, arguments...)}
	}
}

func (s *configurationSimulation) publish(document model.Document, isValid bool) {
	published, err := configurator.EncodeVersion(model.Version(len(s.published)+1), document)
	if err != nil {
		s.recordViolation("publish", "%v", err)

		return
	}
	s.published = append(s.published, published)
	s.isValid = append(s.isValid, isValid)
	s.log("published version %d, valid: %t", published.Version, isValid)
}

// tick advances the clock by tickInterval, may inject a fault, sends a request to each running node and runs the rounds that
// are due.
func (s *configurationSimulation) tick(withFaults bool) {
	s.now += tickInterval
	if withFaults && s.choose.oneIn(6) {
		s.injectFault()
	}
	for _, n := range s.nodes {
		if n.pausedUntil > s.now {
			continue
		}
		s.sendRequest(n)
		if s.now >= n.nextRound {
			s.runRound(n)
		}
	}
}

// runRound exchanges configurations with the first reachable peer of those selected and reads the VM list every
// vmListInterval. Unless the configuration service is down, the first servicePollers nodes and nodes without a configuration
// read it in every round, the other nodes in about one of ten.
func (s *configurationSimulation) runRound(n *processNode) {
	n.nextRound = s.now + timekeeper.Second
	if !s.variant.SkipsReadinessAfterPause {
		n.acceptor.Readiness.Tick(s.now)
	}
	for _, i := range s.peerSelector.Select(s.vms, s.vms[n.number].ID, follower.MaxPeerAttempts) {
		if peer := s.nodes[i]; peer.pausedUntil <= s.now && peer.partition == n.partition {
			s.exchangeConfigurations(n, peer)

			break
		}
	}
	if s.serviceState != 2 && (n.number < servicePollers || s.rng.IntN(10) == 0 || n.acceptor.Current() == nil) {
		s.readService(n)
	}
	if s.now-n.vmListReadAt >= vmListInterval {
		n.vmListReadAt = s.now
		_, n.isVMDraining = s.drainingSince[n.number]
	}
}

// exchangeConfigurations gives the higher version of two nodes to the other one.
func (s *configurationSimulation) exchangeConfigurations(n, peer *processNode) {
	n.highestFromPeers = max(n.highestFromPeers, peer.acceptor.Version())
	s.offerSnapshot(n, peer.acceptor.Current())
	s.offerSnapshot(peer, n.acceptor.Current())
	n.acceptor.Readiness.RecordPeer(string(endpointID(peer.number)))
}

func (s *configurationSimulation) offerSnapshot(n *processNode, snapshot *configurator.Snapshot) {
	if snapshot != nil && (snapshot.Version > n.acceptor.Version() || s.variant.AcceptsAnyVersion) {
		s.offerVersion(n, snapshot.Manifest, snapshot.Values)
	}
}

func (s *configurationSimulation) readService(n *processNode) {
	served := s.published[len(s.published)-1]
	if s.serviceState == 1 {
		served = s.published[s.choose(len(s.published))]
	}
	n.acceptor.Readiness.RecordService()
	s.offerVersion(n, served.Manifest, served.Values)
}

// offerVersion offers a version to a node and checks the version that is in force afterwards.
func (s *configurationSimulation) offerVersion(n *processNode, manifest []byte, values map[string][]byte) {
	if s.variant.AcceptsAnyVersion {
		acceptor := configurator.NewAcceptor(configurator.AllParts, s.now)
		acceptor.Readiness = n.acceptor.Readiness
		n.acceptor = acceptor
	}
	verdict, _ := n.acceptor.Offer(manifest, values)
	if verdict == configurator.VerdictAccepted {
		s.log("node %d puts version %d in force", n.number, n.acceptor.Version())
	}
	version := n.acceptor.Version()
	if version < n.highestSinceStart {
		s.recordViolation("never reverts", "node %d reverted from version %d to %d", n.number, n.highestSinceStart, version)
	}
	if version > 0 && !s.isValid[version-1] {
		s.recordViolation("only valid versions", "node %d put invalid version %d in force", n.number, version)
	}
	n.highestSinceStart = max(n.highestSinceStart, version)
	n.currentVersion = version
	n.highestEver = max(n.highestEver, version)
	if _, ok := n.acceptedAt[version]; !ok {
		n.acceptedAt[version] = s.now
	}
}

// checkConvergence ends all faults and checks that every node holds the newest version after convergenceBound.
func (s *configurationSimulation) checkConvergence() {
	if s.violation != nil {
		return
	}
	s.serviceState = 0
	for _, n := range s.nodes {
		n.partition = 0
		n.partitionChangedAt = s.now
		n.pausedUntil = 0
		n.reachableSince = s.now
		n.resumedAt = min(n.resumedAt, s.now)
	}
	if !s.isValid[len(s.isValid)-1] {
		s.publish(s.document, true)
	}
	for range convergenceBound / tickInterval {
		s.tick(false)
	}
	for _, n := range s.nodes {
		if n.acceptor.Version() != s.latestValidVersion() {
			s.recordViolation("in force everywhere in seconds", "node %d holds version %d, the newest is %d",
				n.number, n.acceptor.Version(), s.latestValidVersion())
		}
	}
}
