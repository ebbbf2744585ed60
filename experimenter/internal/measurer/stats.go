package measurer

import (
	"math"
	"slices"
)

// simulationStats holds the counters of one simulation. controlBytes and coldLimitViolations cover the whole run, the others
// the time after the warm-up. Later turns are all turns of a chat but the first; held turns are the later turns whose prefix
// is in the cache of an available endpoint. skews has one value per second with running requests.
type simulationStats struct {
	requests, givenUp               int
	laterTurns, laterTurnHits       int
	heldTurns, heldTurnHits         int
	proposals, refusals, hops       int
	controlBytes                    int
	skews                           []float64
	loadedSeconds, secondsOverBound int
	coldLimitViolations             int
}

// recordTurn counts a later turn and its prefix cache hit.
func (s *simulationStats) recordTurn(req *request, isHit bool) {
	if !req.isCounted {
		return
	}
	s.laterTurns++
	s.laterTurnHits += boolToInt(isHit)
	s.heldTurns += boolToInt(req.isHeld)
	s.heldTurnHits += boolToInt(req.isHeld && isHit)
}

// recordSkew records the highest load divided by the mean load of the available endpoints, and whether the highest load
// exceeds both the declared bound and the load floor. It is called once per second.
func (s *simulationStats) recordSkew(endpoints []*endpoint) {
	totalLoad, maxLoad, availableCount := 0, 0, 0
	for _, e := range endpoints {
		if e.isDown {
			continue
		}
		load := e.admitter.Running()
		totalLoad += load
		maxLoad = max(maxLoad, load)
		availableCount++
	}
	meanLoad := float64(totalLoad) / float64(max(availableCount, 1))
	if meanLoad == 0 {
		return
	}
	s.skews = append(s.skews, float64(maxLoad)/meanLoad)
	s.loadedSeconds++
	if float64(maxLoad) > math.Max(loadFloor, declaredLoadBound*meanLoad) {
		s.secondsOverBound++
	}
}

// percentile returns the value at a fraction between zero and one of the sorted values, or zero if there are none.
func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)

	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// ratio returns part divided by whole, or zero if whole is zero.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}

	return float64(part) / float64(whole)
}
