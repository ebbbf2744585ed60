package sloper

import (
	"fmt"
	"io"
)

// Sizes of the target fleet. TargetEndpoints are engine endpoints, each with a sidecar process; the printed table calls them
// runners.
const (
	TargetRouters          = 410
	TargetEndpoints        = 840
	TargetProcesses        = TargetRouters + TargetEndpoints
	TargetAccounts         = 48_000
	TargetChatsPerEndpoint = 3_200_000 / TargetEndpoints
)

// Measurement holds the costs measured at several sizes, and the size to extrapolate to.
type Measurement struct {
	Name       string
	Unit       string
	Sizes      []float64
	Costs      []float64
	TargetSize float64
}

// Result is a measurement with its linear fit.
type Result struct {
	Measurement
	Fit LinearFit
}

// MeasureCosts runs all measurements and fits a line to each. It returns the error of the first one that fails.
func MeasureCosts() ([]Result, error) {
	var results []Result
	for _, measure := range []func() (Measurement, error){
		loadTableMemory, loadVectorSize, exchangeSize, exchangeTime, accountMemory, accountShardSize, fleetPartSize,
		compressedFleetPartSize, holderDirectoryMemory, keyRecordMemory, placementTime, meanLoadTime, vectorMergeTime,
		configurationBuildTime, shardUpdateTime, fleetPartBuildTime, admissionTime, keyRecordTime, platformCallRate,
	} {
		m, err := measure()
		if err != nil {
			return nil, fmt.Errorf("sloper: %s: %w", m.Name, err)
		}
		results = append(results, Result{Measurement: m, Fit: FitLine(m.Sizes, m.Costs)})
	}

	return results, nil
}

// PrintResults writes the results as a Markdown table, which docs/CAPACITY.md shows.
func PrintResults(out io.Writer, results []Result) {
	fmt.Fprintln(out, "| what | unit | measured at (size: cost) | base | slope | residual | target size | at target |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range results {
		points := ""
		for i := range r.Sizes {
			points += fmt.Sprintf("%g: %.4g; ", r.Sizes[i], r.Costs[i])
		}
		fmt.Fprintf(out, "| %s | %s | %s | %.4g | %.4g | %.0f %% | %g | %.4g |\n",
			r.Name, r.Unit, points[:len(points)-2], r.Fit.Intercept, r.Fit.Slope, 100*r.Fit.MaxRelativeError,
			r.TargetSize, r.Fit.Predict(r.TargetSize))
	}
}
