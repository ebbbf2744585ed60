package prover

import (
	"fmt"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

func (w *fleetWorld) restart(n *fleetNode) {
	n.acceptor = configurator.NewAcceptor(configurator.AllParts, w.now)
	n.paused = 0
	n.highest = 0
	n.heard = 0
	n.inForce = 0
	n.held = map[model.Version]timekeeper.Millis{}
	n.startedAt = w.now
	n.reachable = w.now
	n.wokenAt = w.now
	n.vmsRead = 0
	n.leaving = false
	w.log("node %d starts", n.number)
}

func (w *fleetWorld) fault() {
	n := w.nodes[w.choose(len(w.nodes))]
	switch w.choose(8) {
	case 0:
		w.restart(n)
	case 1:
		n.paused = w.now + w.choose.span(20*timekeeper.Second)
		n.wokenAt = n.paused
		n.reachable = n.paused
		w.log("node %d pauses until %d", n.number, n.paused-worldStart)
	case 2:
		w.cut(n)
	case 3:
		w.service = w.choose(3)
		w.log("configuration service is %s", [...]string{"good", "stale", "down"}[w.service])
	case 4, 5:
		w.operate()
	case 6:
		w.publishInvalid()
	case 7:
		w.leave(n)
	}
}

// cut moves a node to another side of a partition.
func (w *fleetWorld) cut(n *fleetNode) {
	n.side = w.choose(fleetSides)
	for _, other := range w.nodes {
		other.reachable = max(other.reachable, w.now)
		other.cutAt = w.now
	}
	w.log("node %d is on side %d", n.number, n.side)
}

// operate lets two operators patch the same version; one of them wins.
func (w *fleetWorld) operate() {
	base := w.latestValid()
	for range 2 {
		d := domainOf(w.choose(fleetNodes))
		state := model.DomainOutOfService
		if w.document.Fleet.Domains[d].State == model.DomainOutOfService {
			state = model.DomainInService
		}
		merge := fmt.Sprintf(`{"fleet": {"domains": {%q: {"state": %q}}}}`, d, state)
		next, err := configurator.Apply(w.document, w.latestValid(), configurator.Patch{BaseVersion: base, Merge: []byte(merge)})
		if err != nil {
			w.log("operator's patch lost: %v", err)

			continue
		}
		w.document = next
		w.publish(next, true)
		delete(w.outages, d)
		if state == model.DomainOutOfService {
			w.outages[d] = outage{since: w.now, version: w.latestValid()}
		}
	}
}

func (w *fleetWorld) latestValid() model.Version {
	for i := len(w.published) - 1; i >= 0; i-- {
		if w.valid[i] {
			return w.published[i].Version
		}
	}

	return 0
}

// publishInvalid shows a version that no process may put in force.
func (w *fleetWorld) publishInvalid() {
	broken := w.document
	broken.Fleet.Domains = map[model.DomainID]model.Domain{"d0": {State: "sideways"}}
	w.publish(broken, false)
}

func (w *fleetWorld) leave(n *fleetNode) {
	if _, left := w.leftSince[n.number]; left {
		delete(w.leftSince, n.number)

		return
	}
	w.leftSince[n.number] = w.now
	w.log("node %d is leaving in the VM list", n.number)
}
