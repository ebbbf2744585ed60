package measurer

import (
	"testing"

	"cardamompulley/fleet/placer"
)

func runExperiments(t *testing.T, p Policy, scenarios []Scenario, seedCount uint64) []Result {
	t.Helper()
	var results []Result
	for _, d := range Deployments()[:2] {
		for _, s := range scenarios {
			for seed := range seedCount {
				result, err := runExperimentWithSeed(experiment{d, s, p}, seed+1)
				if err != nil {
					t.Fatal(err)
				}
				results = append(results, result)
			}
		}
	}

	return results
}

// The load stays within the declared bound in all scenarios, and no cold endpoint runs more requests than its limit.
func TestFleetPolicyKeepsDeclaredLoadBound(t *testing.T) {
	fleetPolicy := BoundedPolicies(placer.DefaultAdmissionBound)[1]
	for _, r := range runExperiments(t, fleetPolicy, []Scenario{Steady(), Churn(), DomainOutAndBack(), Surge()}, 4) {
		if r.SecondsOverBound > 0 {
			t.Errorf("%s, %s: %d seconds over the declared load bound, highest skew %.2f", r.Deployment, r.Scenario, r.SecondsOverBound, r.SkewMax)
		}
		if r.ColdLimitViolations > 0 {
			t.Errorf("%s, %s: %d requests started over the cold-start limit", r.Deployment, r.Scenario, r.ColdLimitViolations)
		}
	}
}

// The workload is skewed enough that a policy without a load bound exceeds it; otherwise the test above proves nothing.
func TestRendezvousExceedsDeclaredLoadBound(t *testing.T) {
	secondsOverBound := 0
	for _, r := range runExperiments(t, UnboundedPolicies()[2], []Scenario{Steady()}, 1) {
		secondsOverBound += r.SecondsOverBound
	}
	if secondsOverBound == 0 {
		t.Fatal("rendezvous hashing without a load bound never exceeded the declared load bound")
	}
}

// measureFrontier returns the mean hit ratio and the mean 99th percentile of the skew of a bounded policy at each admission
// bound.
func measureFrontier(t *testing.T, policyIndex int) []Result {
	t.Helper()
	var frontier []Result
	for _, admissionBound := range admissionBounds {
		results := runExperiments(t, BoundedPolicies(admissionBound)[policyIndex], []Scenario{Steady()}, 2)
		var mean Result
		for _, r := range results {
			mean.HitRatio += r.HitRatio / float64(len(results))
			mean.SkewP99 += r.SkewP99 / float64(len(results))
		}
		frontier = append(frontier, mean)
	}

	return frontier
}

// hitRatioAt interpolates the hit ratio of a frontier at a skew.
func hitRatioAt(frontier []Result, skew float64) float64 {
	if skew <= frontier[0].SkewP99 {
		return frontier[0].HitRatio
	}
	for i := 1; i < len(frontier); i++ {
		lower, upper := frontier[i-1], frontier[i]
		if skew <= upper.SkewP99 {
			return lower.HitRatio + (upper.HitRatio-lower.HitRatio)*(skew-lower.SkewP99)/(upper.SkewP99-lower.SkewP99)
		}
	}

	return frontier[len(frontier)-1].HitRatio
}

// The fleet policy has a higher hit ratio than bounded rendezvous hashing at the same skew.
func TestFleetPolicyHitRatioAtEqualSkew(t *testing.T) {
	const (
		minHitRatioGain = 0.05
		boundIndex      = 1
	)
	baseline, fleet := measureFrontier(t, 0), measureFrontier(t, 1)
	hitRatioGain := fleet[boundIndex].HitRatio - hitRatioAt(baseline, fleet[boundIndex].SkewP99)
	t.Logf("at skew %.2f: hit ratio %.3f, %.3f more than bounded rendezvous hashing",
		fleet[boundIndex].SkewP99, fleet[boundIndex].HitRatio, hitRatioGain)
	if hitRatioGain < minHitRatioGain {
		t.Errorf("hit ratio only %.3f higher than that of bounded rendezvous hashing at equal skew", hitRatioGain)
	}
}
