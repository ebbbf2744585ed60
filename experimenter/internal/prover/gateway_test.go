package prover

import (
	"testing"

	"pgregory.net/rapid"
)

func TestGatewaysUnderFaults(t *testing.T) {
	proveTest(t, Promises()[4])
}

func TestGatewaysRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := RunGatewaySchedule(choose, GatewayVariant{}); v != nil {
			t.Fatal(v)
		}
	})
}

func TestGatewayNaiveVariantsBreak(t *testing.T) {
	cases := map[string]GatewayVariant{
		"spends the sums alone":              {SpendsAlone: true},
		"knows no other gateway":             {KnowsNobody: true},
		"repeats what may have run":          {RepeatsAnything: true},
		"ignores domains that are out":       {IgnoresOutages: true},
		"takes older copies of other ranges": {TakesOldCopies: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			mustFail(t, func(c Chooser) *Violation { return RunGatewaySchedule(c, variant) })
		})
	}
}
