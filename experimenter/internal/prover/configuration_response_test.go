package prover

import (
	"testing"

	"pgregory.net/rapid"
)

func TestConfigurationAndDrainUnderFaults(t *testing.T) {
	requireNoViolation(t, Properties()[1])
}

func TestConfigurationAndDrainRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := RunConfigurationSimulation(choose, ConfigurationVariant{}); v != nil {
			t.Fatalf("%v\n%v", v, v.History)
		}
	})
}

func TestConfigurationAndDrainNaiveVariantsBreak(t *testing.T) {
	cases := map[string]ConfigurationVariant{
		"accepts any version":           {AcceptsAnyVersion: true},
		"skips the readiness gate":      {SkipsReadinessGate: true},
		"skips readiness after a pause": {SkipsReadinessAfterPause: true},
		"skips the admission gate":      {SkipsAdmissionGate: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			requireViolation(t, func(c Chooser) *Violation { return RunConfigurationSimulation(c, variant) })
		})
	}
}

func TestCompleteResponseUnderFaults(t *testing.T) {
	requireNoViolation(t, Properties()[2])
}

func TestCompleteResponseNaiveVariantsBreak(t *testing.T) {
	cases := map[string]ResponseVariant{
		"accepts pieces of any attempt": {AcceptsAnyAttempt: true},
		"skips the end check":           {SkipsEndCheck: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			requireViolation(t, func(c Chooser) *Violation { return RunResponseSimulation(c, variant) })
		})
	}
}
