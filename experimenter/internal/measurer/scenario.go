package measurer

import "cardamompulley/fleet/timekeeper"

// Scenario is a series of faults or load changes during a simulation. Prepare schedules them before the simulation runs.
type Scenario struct {
	Name    string
	Prepare func(s *simulation)
}

const (
	// The outage of a failure domain starts and ends at these fractions of the run.
	outageStartFraction = 0.5
	outageEndFraction   = 0.75
	// Churn restarts every churnInterval-th endpoint.
	churnInterval = 10
)

// Steady returns a scenario without faults and with a constant request rate.
func Steady() Scenario {
	return Scenario{Name: "steady", Prepare: func(*simulation) {}}
}

// Churn returns a scenario that restarts a tenth of the endpoints, one after another, each cold and with empty caches.
func Churn() Scenario {
	return Scenario{Name: "churn", Prepare: func(s *simulation) {
		replacedCount := max(1, len(s.endpoints)/churnInterval)
		start := timekeeper.Millis(warmUpFraction * float64(s.endsAt))
		interval := (s.endsAt - start) / timekeeper.Millis(replacedCount+1)
		for n := range replacedCount {
			member := n * churnInterval % len(s.endpoints)
			s.schedule(start+interval*timekeeper.Millis(n), func() { s.takeDown(member) })
			s.schedule(start+interval*timekeeper.Millis(n)+interval/4, func() { s.restart(member) })
		}
	}}
}

// DomainOutAndBack returns a scenario in which the endpoints of the first failure domain go down and later restart together.
func DomainOutAndBack() Scenario {
	return Scenario{Name: "domain-out-back", Prepare: func(s *simulation) {
		for i, e := range s.endpoints {
			if e.domain != s.deployment.domainID(0) {
				continue
			}
			s.schedule(timekeeper.Millis(outageStartFraction*float64(s.endsAt)), func() { s.takeDown(i) })
			s.schedule(timekeeper.Millis(outageEndFraction*float64(s.endsAt)), func() { s.restart(i) })
		}
	}}
}

// takeDown makes a member refuse all new requests. The requests that it still runs or queues at a restart are lost.
func (s *simulation) takeDown(member int) {
	s.endpoints[member].isDown = true
}

// restart replaces the endpoint of a member by a new one in its cold start, with an empty prefix cache, holder directory and
// load table.
func (s *simulation) restart(member int) {
	replacement, err := s.newEndpoint(s.endpoints[member].domain)
	if err != nil {
		return
	}
	s.endpoints[member] = replacement
}

// A surge multiplies the request rate by surgeRateFactor between two fractions of the run.
const (
	surgeRateFactor        = 2.5
	surgeStartFraction     = 0.4
	surgeEndFraction       = 0.6
	surgeIsolationInterval = 3
)

// Surge returns a scenario in which the request rate rises and falls abruptly, while a third of the processes take part in
// no load exchange.
func Surge() Scenario {
	return Scenario{Name: "surge", Prepare: func(s *simulation) {
		normalRate := s.deployment.RequestsPerSecond
		s.schedule(timekeeper.Millis(surgeStartFraction*float64(s.endsAt)), func() {
			s.deployment.RequestsPerSecond = normalRate * surgeRateFactor
			s.isolationInterval = surgeIsolationInterval
		})
		s.schedule(timekeeper.Millis(surgeEndFraction*float64(s.endsAt)), func() {
			s.deployment.RequestsPerSecond = normalRate
			s.isolationInterval = 0
		})
	}}
}
