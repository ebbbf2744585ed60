package prover

import "testing"

func TestAdmissionUnderFaults(t *testing.T) {
	proveTest(t, Promises()[3])
}

func TestAdmissionNaiveVariantsBreak(t *testing.T) {
	cases := map[string]AdmitVariant{
		"ignores a cold start":             {IgnoresCold: true},
		"ignores the load bound":           {IgnoresBound: true},
		"learns no unannounced cold start": {LearnsNoRecold: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			mustFail(t, func(c Chooser) *Violation { return RunAdmitSchedule(c, variant) })
		})
	}
}
