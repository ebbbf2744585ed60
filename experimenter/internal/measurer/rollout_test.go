package measurer

import "testing"

func TestRolloutReachesAllProcessesInTime(t *testing.T) {
	const maxSeconds = 15
	for _, r := range MeasureRollouts() {
		if r.MaxSeconds > maxSeconds {
			t.Errorf("%s: rollout took %d s", r.Case, r.MaxSeconds)
		}
	}
}
