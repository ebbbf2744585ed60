package sloper

import (
	"fmt"
	"io"
)

// Sizes of the users' target.
const (
	Routers      = 410
	Runners      = 840
	Processes    = Routers + Runners
	Accounts     = 48_000
	ChatsPerHome = 3_200_000 / Runners
)

// Slope is one measured slope and what it comes to at the target size.
type Slope struct {
	Name   string
	Unit   string
	Sizes  []float64
	Costs  []float64
	Target float64
}

// Result is a slope with its fit.
type Result struct {
	Slope
	Line Line
}

// Measure measures every slope.
func Measure() ([]Result, error) {
	var results []Result
	for _, measure := range []func() (Slope, error){
		tableMemory, vectorBytes, exchangeWire, exchangeTime, accountMemory, accountShardBytes, fleetPartBytes, fleetPartWire,
		directoryMemory, keyMemory, placementTime, meanTime, mergeTime, snapshotTime, changeTime, fleetSnapshotTime, admissionTime, keyTime, serviceCalls,
	} {
		s, err := measure()
		if err != nil {
			return nil, fmt.Errorf("sloper: %s: %w", s.Name, err)
		}
		results = append(results, Result{Slope: s, Line: Fit(s.Sizes, s.Costs)})
	}

	return results, nil
}

// Print writes the table that docs/CAPACITY.md shows.
func Print(out io.Writer, results []Result) {
	fmt.Fprintln(out, "| what | unit | measured at (size: cost) | base | slope | residual | target size | at target |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range results {
		points := ""
		for i := range r.Sizes {
			points += fmt.Sprintf("%g: %.4g; ", r.Sizes[i], r.Costs[i])
		}
		fmt.Fprintf(out, "| %s | %s | %s | %.4g | %.4g | %.0f %% | %g | %.4g |\n",
			r.Name, r.Unit, points[:len(points)-2], r.Line.Base, r.Line.Slope, 100*r.Line.Residual, r.Target, r.Line.At(r.Target))
	}
}
