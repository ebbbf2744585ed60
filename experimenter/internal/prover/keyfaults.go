package prover

import (
	"slices"

	"cardamompulley/fleet/model"
)

func (w *keyWorld) fault() {
	n := w.nodes[w.choose(len(w.nodes))]
	switch w.choose(6) {
	case 0, 1:
		w.killOrRestart(n)
	case 2:
		most := worldJumps[w.choose(len(worldJumps))]
		jump := w.choose.span(2*most) - most
		n.clock.StepWall(jump)
		n.jump += jump
		w.log("%s clock jumps by %d", n.id, jump)
	case 3:
		w.publishGeneration()
	case 4:
		w.stopForGood(n)
	case 5:
		n.table.Evict(keyCallers)
	}
}

func (w *keyWorld) killOrRestart(n *keyNode) {
	if n.up {
		n.up = false
		w.log("%s killed", n.id)

		return
	}
	if !n.stopped {
		w.start(n)
		w.log("%s restarted on version %d", n.id, n.version)
	}
}

func (w *keyWorld) publishGeneration() {
	newest := w.versions[len(w.versions)-1]
	var living []model.EndpointID
	for _, n := range w.nodes {
		if !n.stopped {
			living = append(living, n.id)
		}
	}
	next := slices.Clone(newest)
	next = append(next, model.HomeGeneration{
		Number: newest[len(newest)-1].Number + 1, Endpoints: w.subset(living),
	})
	w.versions = append(w.versions, next)
	w.log("published %v", next)
}

// stopForGood stops a VM and then declares it stopped, as the operators' patch promises.
func (w *keyWorld) stopForGood(n *keyNode) {
	stopped := 0
	for _, other := range w.nodes {
		if other.stopped {
			stopped++
		}
	}
	if n.stopped || stopped >= keyNodes-2 {
		return
	}
	n.stopped = true
	n.up = false
	next := slices.Clone(w.versions[len(w.versions)-1])
	for i := range next {
		if slices.Contains(next[i].Endpoints, n.id) && i < len(next) {
			next[i].StoppedEndpoints = append(slices.Clone(next[i].StoppedEndpoints), n.id)
		}
	}
	w.versions = append(w.versions, next)
	w.log("%s stopped for good, published %v", n.id, next)
}
