package measurer

import "cardamompulley/fleet/timekeeper"

// Scenario is what happens to the fleet during a run.
type Scenario struct {
	Name    string
	Prepare func(w *world)
}

const (
	faultShare  = 0.5
	returnShare = 0.75
	churnEvery  = 10
)

// Steady changes nothing.
func Steady() Scenario {
	return Scenario{Name: "steady", Prepare: func(*world) {}}
}

// Churn replaces a tenth of the runners, one after another; each comes back cold and empty.
func Churn() Scenario {
	return Scenario{Name: "churn", Prepare: func(w *world) {
		replaced := max(1, len(w.runners)/churnEvery)
		start := timekeeper.Millis(warmUpShare * float64(w.end))
		gap := (w.end - start) / timekeeper.Millis(replaced+1)
		for n := range replaced {
			member := n * churnEvery % len(w.runners)
			w.after(start+gap*timekeeper.Millis(n), func() { w.takeDown(member) })
			w.after(start+gap*timekeeper.Millis(n)+gap/4, func() { w.bringBack(member) })
		}
	}}
}

// DomainOutAndBack takes the first failure domain away and brings it back cold.
func DomainOutAndBack() Scenario {
	return Scenario{Name: "domain-out-back", Prepare: func(w *world) {
		for i, r := range w.runners {
			if r.domain != w.deployment.domain(0) {
				continue
			}
			w.after(timekeeper.Millis(faultShare*float64(w.end)), func() { w.takeDown(i) })
			w.after(timekeeper.Millis(returnShare*float64(w.end)), func() { w.bringBack(i) })
		}
	}}
}

// takeDown gives a runner nothing new; what it runs is lost when it comes back as another.
func (w *world) takeDown(member int) {
	w.runners[member].down = true
}

// bringBack starts a runner anew: cold, with an empty cache and without memory.
func (w *world) bringBack(member int) {
	fresh, err := w.newRunner(w.runners[member].domain)
	if err != nil {
		return
	}
	w.runners[member] = fresh
}

const (
	surgeFactor = 2.5
	surgeStart  = 0.4
	surgeEnd    = 0.6
	staleShare  = 3
)

// Surge lets the work grow without warning and end as suddenly, while a third of the processes hear nothing new.
func Surge() Scenario {
	return Scenario{Name: "surge", Prepare: func(w *world) {
		usual := w.deployment.PerSecond
		w.after(timekeeper.Millis(surgeStart*float64(w.end)), func() {
			w.deployment.PerSecond = usual * surgeFactor
			w.deaf = staleShare
		})
		w.after(timekeeper.Millis(surgeEnd*float64(w.end)), func() {
			w.deployment.PerSecond = usual
			w.deaf = 0
		})
	}}
}
