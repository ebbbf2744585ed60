package prover

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"github.com/sourcegraph/conc/pool"

	"cardamompulley/fleet/timekeeper"
)

// Chooser returns a number in [0, n). It is the only source of randomness in a simulation, so a schedule can be replayed
// from its seed, or shrunk by a property-testing library that makes the choices.
type Chooser func(n int) int

// NewChooser returns a chooser whose numbers are determined by the seed.
func NewChooser(seed uint64) Chooser {
	r := rand.New(rand.NewPCG(seed, seed))

	return r.IntN
}

// oneIn returns true with probability 1/n.
func (c Chooser) oneIn(n int) bool {
	return c(n) == 0
}

// duration returns a duration from zero to limit, both included.
func (c Chooser) duration(limit timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(c(int(limit) + 1))
}

// Violation is a property that did not hold in a simulation. Property is its name, Detail says what was observed, and
// History lists the events before it, where the simulation records them.
type Violation struct {
	Property string
	Detail   string
	History  []string
}

// Error returns the property and the observation.
func (v *Violation) Error() string {
	return fmt.Sprintf("prover: %s: %s", v.Property, v.Detail)
}

// Simulation runs one random schedule and returns the first violation, or nil.
type Simulation func(c Chooser) *Violation

// Property is a guarantee of the product, with a simulation that tries to violate it. Faults lists the faults that the
// simulation injects.
type Property struct {
	Name   string
	Faults string
	Run    Simulation
}

// Properties returns all properties that have a simulation.
func Properties() []Property {
	return []Property{
		{
			Name:   "at most once, and not-run is true",
			Faults: "kill, restart on an old configuration, pause, clock jump, home moved, lost and late messages",
			Run:    func(c Chooser) *Violation { return RunIdempotencySimulation(c, IdempotencyVariant{}) },
		},
		{
			Name:   "configuration and drain",
			Faults: "restart, pause, partition, service stale or down, operators race, invalid content, VM leaves",
			Run:    func(c Chooser) *Violation { return RunConfigurationSimulation(c, ConfigurationVariant{}) },
		},
		{
			Name:   "whole answer to the own request",
			Faults: "crossed, late, repeated and lost pieces, cut",
			Run:    func(c Chooser) *Violation { return RunResponseSimulation(c, ResponseVariant{}) },
		},
		{
			Name:   "cold start, load bound and deadline",
			Faults: "restart, cold without notice, moving mean, bursts of several routers",
			Run:    func(c Chooser) *Violation { return RunAdmissionSimulation(c, AdmissionVariant{}) },
		},
		{
			Name:   "gateways of any deployment",
			Faults: "restart, freeze, cut from the store or from each other, store away or back from a copy, endpoints come and leave or advertise limits, domains out, bodies that arrive slowly",
			Run:    func(c Chooser) *Violation { return RunGatewaySimulation(c, GatewayVariant{}) },
		},
		{
			Name:   "what crashes endpoints stays away",
			Faults: "gateways cut off from each other, restart (not all that remember), two crashing requests or prompt parts, sound requests that share parts",
			Run:    func(c Chooser) *Violation { return RunCrashSimulation(c, CrashVariant{}) },
		},
		{
			Name:   "resumed streams stay at their version",
			Faults: "versions come and leave, gateways killed one by one or all at once, cut off from each other or from the store, changes discarded early",
			Run:    func(c Chooser) *Violation { return RunResumeSimulation(c, ResumeVariant{}) },
		},
		{
			Name:   "resumed streams stay at their version beside suspended VMs",
			Faults: "the same, and VMs that are suspended for up to 20 s, which their clocks do not count",
			Run:    func(c Chooser) *Violation { return RunSuspendedResumeSimulation(c, ResumeVariant{}) },
		},
		{
			Name:   "changes of the store reach every gateway in time",
			Faults: "1 to 100 gateways of a domain, readers suspended, killed alone or all at once, cut off from the store or from others, lists that differ",
			Run:    func(c Chooser) *Violation { return RunReaderSimulation(c, ReaderVariant{}) },
		},
		{
			Name:   "the crash of a domain is held against nothing in the requests",
			Faults: "1 to 100 gateways restart, all endpoints crash at once just after, a crashing prompt part or none, sound requests that share parts",
			Run:    func(c Chooser) *Violation { return RunDomainCrashSimulation(c, CrashVariant{}) },
		},
	}
}

// Result holds the outcome of a property's simulations. FailedSeeds are the seeds with a violation, in ascending order.
// FirstViolation is the violation of the lowest of them, or nil.
type Result struct {
	Property       Property
	Schedules      int
	FailedSeeds    []uint64
	FirstViolation *Violation
}

// Check runs the simulation of a property for consecutive seeds, starting at first. It runs simulations in parallel; the
// result does not depend on their order.
func Check(p Property, first uint64, seeds int) Result {
	violations := make([]*Violation, seeds)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i := range seeds {
		workers.Go(func() { violations[i] = p.Run(NewChooser(first + uint64(i))) })
	}
	workers.Wait()
	result := Result{Property: p, Schedules: seeds}
	for i, v := range violations {
		if v == nil {
			continue
		}
		result.FailedSeeds = append(result.FailedSeeds, first+uint64(i))
		if result.FirstViolation == nil {
			result.FirstViolation = v
		}
	}

	return result
}
