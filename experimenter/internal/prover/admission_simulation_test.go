package prover

import "testing"

func TestAdmissionUnderFaults(t *testing.T) {
	requireNoViolation(t, Properties()[3])
}

func TestAdmissionNaiveVariantsBreak(t *testing.T) {
	cases := map[string]AdmissionVariant{
		"ignores a cold start":              {IgnoresColdStart: true},
		"ignores the load bound":            {IgnoresLoadBound: true},
		"ignores an unannounced cold start": {IgnoresUnannouncedColdStart: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			requireViolation(t, func(c Chooser) *Violation { return RunAdmissionSimulation(c, variant) })
		})
	}
}
