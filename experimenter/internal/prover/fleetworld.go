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

// FleetVariant weakens how processes follow the configuration, to show that the schedules find what it is for.
type FleetVariant struct {
	TakesAnyVersion bool
	ServesAtOnce    bool
	SkipsWakeHold   bool
	TrustsRouters   bool
	SkipsChecks     bool
}

const (
	fleetTicks   = 240
	fleetTick    = 250 * timekeeper.Millis(1)
	fleetNodes   = 6
	fleetSides   = 2
	inForceBound = 15 * timekeeper.Second
	drainBound   = 10 * timekeeper.Second
	vmPoll       = 3 * timekeeper.Second
	maxSeed      = 1 << 30
	never        = timekeeper.Millis(1 << 62)
	watchers     = 2
	manyHolders  = 3
)

// fleetNode is one process; every node has an endpoint of its own failure domain beside it.
type fleetNode struct {
	number    int
	acceptor  *configurator.Acceptor
	side      int
	paused    timekeeper.Millis
	nextTurn  timekeeper.Millis
	vmsRead   timekeeper.Millis
	leaving   bool
	reachable timekeeper.Millis
	wokenAt   timekeeper.Millis
	highest   model.Version
	heard     model.Version
	inForce   model.Version
	everHeld  model.Version
	cutAt     timekeeper.Millis
	startedAt timekeeper.Millis
	held      map[model.Version]timekeeper.Millis
}

// outage is a failure domain that operators have taken out with a version.
type outage struct {
	since   timekeeper.Millis
	version model.Version
}

type fleetWorld struct {
	choose    Chooser
	variant   FleetVariant
	now       timekeeper.Millis
	random    *rand.Rand
	chooser   exchanger.PeerSelector
	vms       []model.VM
	nodes     []*fleetNode
	published []configurator.EncodedVersion
	valid     []bool
	document  model.Document
	outages   map[model.DomainID]outage
	leftSince map[int]timekeeper.Millis
	service   int
	history   []string
	failed    *Violation
}

// RunFleetSchedule tries to make a process fall back to an older version, or an endpoint take work that it must not.
func RunFleetSchedule(c Chooser, variant FleetVariant) *Violation {
	w := newFleetWorld(c, variant)
	for range fleetTicks {
		w.tick(true)
		if w.failed != nil {
			break
		}
	}
	w.settle()
	if w.failed != nil {
		w.failed.History = w.history
	}

	return w.failed
}

func newFleetWorld(c Chooser, variant FleetVariant) *fleetWorld {
	w := &fleetWorld{
		choose: c, variant: variant, now: worldStart,
		outages:   map[model.DomainID]outage{},
		leftSince: map[int]timekeeper.Millis{},
	}
	seed := uint64(c(maxSeed))
	w.random = rand.New(rand.NewPCG(seed, seed))
	w.chooser = exchanger.NewPeerSelector("", w.random)
	w.document = model.Document{Fleet: model.Fleet{
		Domains:   map[model.DomainID]model.Domain{},
		Services:  map[model.ServiceID]model.Service{"s": {Kind: model.KindPlain}},
		Endpoints: map[model.EndpointID]model.Endpoint{},
	}}
	for n := range fleetNodes {
		w.document.Fleet.Domains[domainOf(n)] = model.Domain{State: model.DomainInService}
		w.document.Fleet.Endpoints[endpointOf(n)] = model.Endpoint{
			Service: "s", Domain: domainOf(n), Address: fmt.Sprintf("127.0.0.1:%d", n+1),
		}
	}
	w.publish(w.document, true)
	for n := range fleetNodes {
		w.vms = append(w.vms, model.VM{ID: string(endpointOf(n)), Address: "peer"})
		node := &fleetNode{number: n}
		w.nodes = append(w.nodes, node)
		w.restart(node)
	}

	return w
}

func domainOf(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("d%d", n))
}

func endpointOf(n int) model.EndpointID {
	return model.EndpointID(fmt.Sprintf("e%d", n))
}

func (w *fleetWorld) log(format string, arguments ...any) {
	w.history = append(w.history, fmt.Sprintf("%d ", w.now-worldStart)+fmt.Sprintf(format, arguments...))
}

func (w *fleetWorld) fail(promise, format string, arguments ...any) {
	if w.failed == nil {
		w.failed = &Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...)}
	}
}

func (w *fleetWorld) publish(d model.Document, valid bool) {
	published, err := configurator.EncodeVersion(model.Version(len(w.published)+1), d)
	if err != nil {
		w.fail("publish", "%v", err)

		return
	}
	w.published = append(w.published, published)
	w.valid = append(w.valid, valid)
	w.log("published version %d, valid: %t", published.Version, valid)
}

func (w *fleetWorld) tick(withFaults bool) {
	w.now += fleetTick
	if withFaults && w.choose.chance(6) {
		w.fault()
	}
	for _, n := range w.nodes {
		if n.paused > w.now {
			continue
		}
		w.offerWork(n)
		if w.now >= n.nextTurn {
			w.turn(n)
		}
	}
}

// turn is one exchange with a peer, and now and then a read of the platform.
func (w *fleetWorld) turn(n *fleetNode) {
	n.nextTurn = w.now + timekeeper.Second
	if !w.variant.SkipsWakeHold {
		n.acceptor.Readiness.Tick(w.now)
	}
	for _, i := range w.chooser.Select(w.vms, w.vms[n.number].ID, follower.MaxPeerAttempts) {
		if peer := w.nodes[i]; peer.paused <= w.now && peer.side == n.side {
			w.exchange(n, peer)

			break
		}
	}
	if w.service != 2 && (n.number < watchers || w.random.IntN(10) == 0 || n.acceptor.Current() == nil) {
		w.read(n)
	}
	if w.now-n.vmsRead >= vmPoll {
		n.vmsRead = w.now
		_, n.leaving = w.leftSince[n.number]
	}
}

func (w *fleetWorld) exchange(n, peer *fleetNode) {
	n.heard = max(n.heard, peer.acceptor.Version())
	w.offer(n, peer.acceptor.Current())
	w.offer(peer, n.acceptor.Current())
	n.acceptor.Readiness.RecordPeer(string(endpointOf(peer.number)))
}

func (w *fleetWorld) offer(n *fleetNode, s *configurator.Snapshot) {
	if s != nil && (s.Version > n.acceptor.Version() || w.variant.TakesAnyVersion) {
		w.take(n, s.Manifest, s.Values)
	}
}

func (w *fleetWorld) read(n *fleetNode) {
	shown := w.published[len(w.published)-1]
	if w.service == 1 {
		shown = w.published[w.choose(len(w.published))]
	}
	n.acceptor.Readiness.RecordService()
	w.take(n, shown.Manifest, shown.Values)
}

func (w *fleetWorld) take(n *fleetNode, manifest []byte, values map[string][]byte) {
	if w.variant.TakesAnyVersion {
		fresh := configurator.NewAcceptor(configurator.AllParts, w.now)
		fresh.Readiness = n.acceptor.Readiness
		n.acceptor = fresh
	}
	verdict, _ := n.acceptor.Offer(manifest, values)
	if verdict == configurator.VerdictAccepted {
		w.log("node %d puts version %d in force", n.number, n.acceptor.Version())
	}
	version := n.acceptor.Version()
	if version < n.highest {
		w.fail("never reverts", "node %d fell from version %d to %d", n.number, n.highest, version)
	}
	if version > 0 && !w.valid[version-1] {
		w.fail("only valid versions", "node %d put invalid version %d in force", n.number, version)
	}
	n.highest = max(n.highest, version)
	n.inForce = version
	n.everHeld = max(n.everHeld, version)
	if _, ok := n.held[version]; !ok {
		n.held[version] = w.now
	}
}

// settle ends every fault and checks that the newest version is in force everywhere in time.
func (w *fleetWorld) settle() {
	if w.failed != nil {
		return
	}
	w.service = 0
	for _, n := range w.nodes {
		n.side = 0
		n.cutAt = w.now
		n.paused = 0
		n.reachable = w.now
		n.wokenAt = min(n.wokenAt, w.now)
	}
	if !w.valid[len(w.valid)-1] {
		w.publish(w.document, true)
	}
	for range inForceBound / fleetTick {
		w.tick(false)
	}
	for _, n := range w.nodes {
		if n.acceptor.Version() != w.latestValid() {
			w.fail("in force everywhere in seconds", "node %d holds version %d of %d", n.number, n.acceptor.Version(), w.latestValid())
		}
	}
}
