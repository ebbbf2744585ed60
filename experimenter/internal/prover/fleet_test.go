package prover

import (
	"testing"

	"pgregory.net/rapid"
)

func TestConfigurationAndDrainUnderFaults(t *testing.T) {
	proveTest(t, Promises()[1])
}

func TestConfigurationAndDrainRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := RunFleetSchedule(choose, FleetVariant{}); v != nil {
			t.Fatalf("%v\n%v", v, v.History)
		}
	})
}

func TestConfigurationAndDrainNaiveVariantsBreak(t *testing.T) {
	cases := map[string]FleetVariant{
		"takes any version":                {TakesAnyVersion: true},
		"serves at once after a start":     {ServesAtOnce: true},
		"serves at once after a pause":     {SkipsWakeHold: true},
		"trusts routers instead of a gate": {TrustsRouters: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			mustFail(t, func(c Chooser) *Violation { return RunFleetSchedule(c, variant) })
		})
	}
}

func TestWholeAnswerUnderFaults(t *testing.T) {
	proveTest(t, Promises()[2])
}

func TestWholeAnswerNaiveVariantsBreak(t *testing.T) {
	cases := map[string]AnswerVariant{
		"takes any attempt's pieces": {TakesAnyAttempt: true},
		"skips the end check":        {SkipsEnd: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			mustFail(t, func(c Chooser) *Violation { return RunAnswerSchedule(c, variant) })
		})
	}
}
