package measurer

import (
	"fmt"
	"io"
	"runtime"

	"github.com/sourcegraph/conc/pool"

	"cardamompulley/fleet/placer"
)

// Result holds the figures of one policy on one deployment in one scenario. Ratios are between zero and one. They and the
// skews cover the time after the warm-up.
//
// HitRatio is the prefix cache hit ratio of the later turns of chats, HeldHitRatio the ratio of the later turns whose prefix
// is in the cache of any available endpoint. The skew of a second is the highest load of an available endpoint divided by
// the mean load. SecondsOverBound counts the seconds in which a load exceeds both the declared load bound and the load
// floor.
//
// A router proposes a request to an endpoint, which accepts or refuses it. RefusedRatio is the fraction of refused
// proposals, GivenUpRatio the fraction of requests that no endpoint accepted. HopsPerRequest is the mean number of endpoints
// that a router sends a request to; it is zero for all policies except the fleet's.
//
// ControlBytesPerSecond is the mean load exchange traffic of a process, sent and received, over the whole run.
// ColdLimitViolations counts the requests of the whole run that started above the concurrency limit of an endpoint in its
// cold start.
type Result struct {
	Deployment            string  `json:"deployment"`
	Scenario              string  `json:"scenario"`
	Policy                string  `json:"policy"`
	AdmissionBound        float64 `json:"admission-bound"`
	HitRatio              float64 `json:"reuse"`
	HeldHitRatio          float64 `json:"reuse-of-held"`
	SkewMedian            float64 `json:"skew-p50"`
	SkewP99               float64 `json:"skew-p99"`
	SkewMax               float64 `json:"skew-worst"`
	SecondsOverBound      int     `json:"seconds-over-declared-bound"`
	RefusedRatio          float64 `json:"proposals-refused"`
	HopsPerRequest        float64 `json:"hops-per-request"`
	GivenUpRatio          float64 `json:"given-up"`
	ControlBytesPerSecond float64 `json:"control-bytes-per-second"`
	ColdLimitViolations   int     `json:"starts-over-cold-limit"`
}

const defaultSeed = 7

// admissionBounds are the bounds that the bounded policies are compared at, as multiples of the mean load.
var admissionBounds = []float64{1.1, 1.25, 1.5, 2.0}

// experiment is one combination of deployment, scenario and policy to simulate.
type experiment struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
}

// MeasurePolicies runs all policies on all deployments in the steady scenario, except the oracle on large ones, and the
// fleet policy in the other scenarios too. The experiments run concurrently, but the results do not depend on it, since
// each has its own random source.
func MeasurePolicies() ([]Result, error) {
	var experiments []experiment
	for _, d := range Deployments() {
		for _, p := range UnboundedPolicies() {
			experiments = append(experiments, experiment{d, Steady(), p})
		}
		for _, bound := range admissionBounds {
			for _, p := range BoundedPolicies(bound) {
				if p.Name == "oracle" && d.Endpoints > maxOracleEndpoints {
					continue
				}
				experiments = append(experiments, experiment{d, Steady(), p})
			}
		}
		fleetPolicy := BoundedPolicies(placer.DefaultAdmissionBound)[1]
		for _, s := range []Scenario{Churn(), DomainOutAndBack(), Surge()} {
			experiments = append(experiments, experiment{d, s, fleetPolicy})
		}
	}
	results := make([]Result, len(experiments))
	workers := pool.New().WithErrors().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i, e := range experiments {
		workers.Go(func() error {
			var err error
			results[i], err = runExperiment(e)

			return err
		})
	}
	if err := workers.Wait(); err != nil {
		return nil, fmt.Errorf("measurer: run experiments: %w", err)
	}

	return results, nil
}

// maxOracleEndpoints is the size of the largest deployment that runs the oracle policy, which scans all endpoints for each
// request.
const maxOracleEndpoints = 100

func runExperiment(e experiment) (Result, error) {
	return runExperimentWithSeed(e, defaultSeed)
}

func runExperimentWithSeed(e experiment, seed uint64) (Result, error) {
	s, err := newSimulation(e.deployment, e.policy, seed)
	if err != nil {
		return Result{}, err
	}
	e.scenario.Prepare(s)
	s.run()
	for _, endpoint := range s.endpoints {
		s.stats.coldLimitViolations += endpoint.coldLimitViolations
	}
	stats := &s.stats
	processes := float64(e.deployment.Routers + e.deployment.Endpoints)

	return Result{
		Deployment: e.deployment.Name, Scenario: e.scenario.Name, Policy: e.policy.Name, AdmissionBound: e.policy.AdmissionBound,
		HitRatio: ratio(stats.laterTurnHits, stats.laterTurns), HeldHitRatio: ratio(stats.heldTurnHits, stats.heldTurns),
		SkewMedian: percentile(stats.skews, 0.5), SkewP99: percentile(stats.skews, 0.99), SkewMax: percentile(stats.skews, 1),
		SecondsOverBound: stats.secondsOverBound, RefusedRatio: ratio(stats.refusals, stats.proposals),
		HopsPerRequest:        ratio(stats.hops, stats.requests),
		GivenUpRatio:          ratio(stats.givenUp, stats.requests),
		ControlBytesPerSecond: 2 * float64(stats.controlBytes) / processes / float64(e.deployment.DurationSeconds),
		ColdLimitViolations:   stats.coldLimitViolations,
	}, nil
}

// PrintResults writes the results as a text table. The column reuse is HitRatio, held is HeldHitRatio, over is
// SecondsOverBound and cold+ is ColdLimitViolations.
func PrintResults(out io.Writer, results []Result) {
	fmt.Fprintf(out, "%-10s %-16s %-19s %6s %6s %6s %6s %6s %6s %5s %8s %5s %8s %8s %5s\n", "deployment", "scenario", "policy",
		"bound", "reuse", "held", "skew50", "skew99", "worst", "over", "refused", "hops", "given-up", "ctl-B/s", "cold+")
	for _, r := range results {
		fmt.Fprintf(out, "%-10s %-16s %-19s %6.2f %6.3f %6.3f %6.2f %6.2f %6.2f %5d %7.2f%% %5.2f %7.3f%% %8.0f %5d\n",
			r.Deployment, r.Scenario, r.Policy, r.AdmissionBound, r.HitRatio, r.HeldHitRatio, r.SkewMedian, r.SkewP99, r.SkewMax,
			r.SecondsOverBound, 100*r.RefusedRatio, r.HopsPerRequest, 100*r.GivenUpRatio, r.ControlBytesPerSecond, r.ColdLimitViolations)
	}
}
