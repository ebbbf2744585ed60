package spreader

import "slices"

// Pick returns the index of one of the costs that exceed the lowest by tolerance at the most; random, from 0 to 1, says which. It answers
// gateways that choose at the same moment by the same knowledge.
func Pick(costs []float64, tolerance, random float64) int {
	highest := slices.Min(costs) + tolerance
	good := make([]int, 0, len(costs))
	for i, c := range costs {
		if c <= highest {
			good = append(good, i)
		}
	}

	return good[min(int(random*float64(len(good))), len(good)-1)]
}

// Unevenness returns the largest load over the mean, zero if there is none.
func Unevenness(loads []float64) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	if sum <= 0 {
		return 0
	}

	return slices.Max(loads) * float64(len(loads)) / sum
}
