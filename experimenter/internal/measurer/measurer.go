package measurer

import (
	"fmt"
	"io"
	"runtime"

	"github.com/sourcegraph/conc/pool"

	"cardamompulley/fleet/placer"
)

// Row is the result of one policy on one deployment under one scenario.
type Row struct {
	Deployment   string  `json:"deployment"`
	Scenario     string  `json:"scenario"`
	Policy       string  `json:"policy"`
	Bound        float64 `json:"admission-bound"`
	Reuse        float64 `json:"reuse"`
	HeldReuse    float64 `json:"reuse-of-held"`
	SkewMedian   float64 `json:"skew-p50"`
	SkewP99      float64 `json:"skew-p99"`
	SkewWorst    float64 `json:"skew-worst"`
	OverBound    int     `json:"seconds-over-declared-bound"`
	Refused      float64 `json:"proposals-refused"`
	HopsEach     float64 `json:"hops-per-request"`
	GivenUp      float64 `json:"given-up"`
	ControlBytes float64 `json:"control-bytes-per-second"`
	ColdOver     int     `json:"starts-over-cold-limit"`
}

const measureSeed = 7

var sweep = []float64{1.1, 1.25, 1.5, 2.0}

type task struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
}

// Measure runs every policy on every deployment and scenario; the rows do not depend on what runs at once.
func Measure() ([]Row, error) {
	var tasks []task
	for _, d := range Deployments() {
		for _, p := range Unbounded() {
			tasks = append(tasks, task{d, Steady(), p})
		}
		for _, bound := range sweep {
			for _, p := range Bounded(bound) {
				if p.Name == "oracle" && d.Runners > maxOracleRunners {
					continue
				}
				tasks = append(tasks, task{d, Steady(), p})
			}
		}
		fleet := Bounded(placer.DefaultAdmissionBound)[1]
		for _, s := range []Scenario{Churn(), DomainOutAndBack(), Surge()} {
			tasks = append(tasks, task{d, s, fleet})
		}
	}
	rows := make([]Row, len(tasks))
	workers := pool.New().WithErrors().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i, t := range tasks {
		workers.Go(func() error {
			var err error
			rows[i], err = measureOne(t)

			return err
		})
	}
	if err := workers.Wait(); err != nil {
		return nil, fmt.Errorf("measurer: %w", err)
	}

	return rows, nil
}

const maxOracleRunners = 100

func measureOne(t task) (Row, error) {
	return measureSeeded(t, measureSeed)
}

func measureSeeded(t task, seed uint64) (Row, error) {
	w, err := newWorld(t.deployment, t.policy, seed)
	if err != nil {
		return Row{}, err
	}
	t.scenario.Prepare(w)
	w.run()
	for _, r := range w.runners {
		w.tally.coldOver += r.coldOver
	}
	y := &w.tally
	processes := float64(t.deployment.Routers + t.deployment.Runners)

	return Row{
		Deployment: t.deployment.Name, Scenario: t.scenario.Name, Policy: t.policy.Name, Bound: t.policy.Bound,
		Reuse: ratio(y.hits, y.returning), HeldReuse: ratio(y.heldHits, y.held),
		SkewMedian: percentile(y.skews, 0.5), SkewP99: percentile(y.skews, 0.99), SkewWorst: percentile(y.skews, 1),
		OverBound: y.boundBroken, Refused: ratio(y.refused, y.proposals), HopsEach: ratio(y.hops, y.requests),
		GivenUp:      ratio(y.givenUp, y.requests),
		ControlBytes: 2 * float64(y.controlBytes) / processes / float64(t.deployment.Seconds),
		ColdOver:     y.coldOver,
	}, nil
}

// Print writes the rows as a table for people.
func Print(out io.Writer, rows []Row) {
	fmt.Fprintf(out, "%-10s %-16s %-19s %6s %6s %6s %6s %6s %6s %5s %8s %5s %8s %8s %5s\n", "deployment", "scenario", "policy",
		"bound", "reuse", "held", "skew50", "skew99", "worst", "over", "refused", "hops", "given-up", "ctl-B/s", "cold+")
	for _, r := range rows {
		fmt.Fprintf(out, "%-10s %-16s %-19s %6.2f %6.3f %6.3f %6.2f %6.2f %6.2f %5d %7.2f%% %5.2f %7.3f%% %8.0f %5d\n",
			r.Deployment, r.Scenario, r.Policy, r.Bound, r.Reuse, r.HeldReuse, r.SkewMedian, r.SkewP99, r.SkewWorst,
			r.OverBound, 100*r.Refused, r.HopsEach, 100*r.GivenUp, r.ControlBytes, r.ColdOver)
	}
}
