package measurer

import "testing"

func TestConfigurationIsInForceEverywhereInTime(t *testing.T) {
	const bound = 15
	for _, r := range Rollouts() {
		if r.Longest > bound {
			t.Errorf("%s: %d s", r.Case, r.Longest)
		}
	}
}
