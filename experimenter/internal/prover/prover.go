package prover

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"github.com/sourcegraph/conc/pool"

	"cardamompulley/fleet/timekeeper"
)

// Chooser picks a number under n; it is the only source of chance in a schedule.
type Chooser func(n int) int

// NewChooser returns a chooser that replays the same schedule for the same seed.
func NewChooser(seed uint64) Chooser {
	r := rand.New(rand.NewPCG(seed, seed))

	return r.IntN
}

// chance tells true once in n choices.
func (c Chooser) chance(n int) bool {
	return c(n) == 0
}

// span picks a span up to most.
func (c Chooser) span(most timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(c(int(most) + 1))
}

// Violation is a broken promise found in a history.
type Violation struct {
	Promise string
	Detail  string
	History []string
}

// Error describes the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("prover: %s: %s", v.Promise, v.Detail)
}

// Schedule runs one random schedule and returns a violation or nil.
type Schedule func(c Chooser) *Violation

// Promise is one line of what must always hold, with the schedules that try to break it.
type Promise struct {
	Name     string
	Faults   string
	Schedule Schedule
}

// Promises lists every promise that is tried by random schedules.
func Promises() []Promise {
	return []Promise{
		{
			Name:     "at most once, and not-run is true",
			Faults:   "kill, restart on an old configuration, pause, clock jump, home moved, lost and late messages",
			Schedule: func(c Chooser) *Violation { return RunKeySchedule(c, KeyVariant{}) },
		},
		{
			Name:     "configuration and drain",
			Faults:   "restart, pause, partition, service stale or down, operators race, invalid content, VM leaves",
			Schedule: func(c Chooser) *Violation { return RunFleetSchedule(c, FleetVariant{}) },
		},
		{
			Name:     "whole answer to the own request",
			Faults:   "crossed, late, repeated and lost pieces, cut",
			Schedule: func(c Chooser) *Violation { return RunAnswerSchedule(c, AnswerVariant{}) },
		},
		{
			Name:     "cold start, load bound and deadline",
			Faults:   "restart, cold without notice, moving mean, bursts of several routers",
			Schedule: func(c Chooser) *Violation { return RunAdmitSchedule(c, AdmitVariant{}) },
		},
		{
			Name:     "gateways of any deployment",
			Faults:   "restart, freeze, cut from the store or from each other, store away, endpoints come and leave, domains out",
			Schedule: func(c Chooser) *Violation { return RunGatewaySchedule(c, GatewayVariant{}) },
		},
	}
}

// Result counts what became of a promise's schedules.
type Result struct {
	Promise    Promise
	Schedules  int
	Violations []uint64
	First      *Violation
}

// Prove runs the schedules of a promise for a range of seeds, some at once; the result does not depend on their order.
func Prove(p Promise, first uint64, seeds int) Result {
	found := make([]*Violation, seeds)
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for n := range seeds {
		workers.Go(func() { found[n] = p.Schedule(NewChooser(first + uint64(n))) })
	}
	workers.Wait()
	r := Result{Promise: p, Schedules: seeds}
	for n, v := range found {
		if v == nil {
			continue
		}
		r.Violations = append(r.Violations, first+uint64(n))
		if r.First == nil {
			r.First = v
		}
	}

	return r
}
