package measurer

import (
	"math"
	"slices"
)

// tally is what one run counted after its warm-up.
type tally struct {
	requests, givenUp         int
	returning, hits           int
	held, heldHits            int
	proposals, refused, hops  int
	controlBytes              int
	skews                     []float64
	boundSeconds, boundBroken int
	coldOver                  int
}

// noteTurn notes whether a returning turn found its prefix.
func (t *tally) noteTurn(q *request, hit bool) {
	if !q.counted {
		return
	}
	t.returning++
	t.hits += count(hit)
	t.held += count(q.held)
	t.heldHits += count(q.held && hit)
}

// noteSkew notes one second's largest load over the mean, and whether it was over the declared bound and its floor.
func (t *tally) noteSkew(runners []*runner) {
	total, largest, living := 0, 0, 0
	for _, r := range runners {
		if r.down {
			continue
		}
		load := r.admitter.Running()
		total += load
		largest = max(largest, load)
		living++
	}
	mean := float64(total) / float64(max(living, 1))
	if mean == 0 {
		return
	}
	t.skews = append(t.skews, float64(largest)/mean)
	t.boundSeconds++
	if float64(largest) > math.Max(loadFloor, declaredBound*mean) {
		t.boundBroken++
	}
}

func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)

	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}

	return float64(part) / float64(whole)
}
