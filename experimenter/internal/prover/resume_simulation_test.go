package prover

import (
	"testing"

	"pgregory.net/rapid"
)

func TestResumedStreamsUnderFaults(t *testing.T) {
	requireNoViolation(t, Properties()[6])
}

// Guards against a version that came and left between the old list of a gateway and its fresh one.
func TestFreshListDoesNotCompleteOldOne(t *testing.T) {
	const seed = 1046
	if v := RunResumeSimulation(NewChooser(seed), ResumeVariant{}); v != nil {
		t.Fatal(v)
	}
}

// Guards against an origin that nobody was sent because no other gateway could be reached when its stream began.
func TestDeathOfOneGatewayLosesNoOrigin(t *testing.T) {
	const seed = 2512
	if v := RunResumeSimulation(NewChooser(seed), ResumeVariant{}); v != nil {
		t.Fatal(v)
	}
	if v := RunResumeSimulation(NewChooser(seed), ResumeVariant{SendsOnce: true}); v == nil {
		t.Fatal("the schedule does not show origins that are sent only once")
	}
}

func TestResumedStreamsRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := RunResumeSimulation(choose, ResumeVariant{}); v != nil {
			t.Fatal(v)
		}
	})
}

// Guards against a gateway that takes its list for the newest one because its clock has stood still with its VM.
func TestResumedStreamsBesideSuspendedVMs(t *testing.T) {
	const naiveSeed = 336
	requireNoViolation(t, Properties()[7])
	if v := RunSuspendedResumeSimulation(NewChooser(naiveSeed), ResumeVariant{IgnoresSuspension: true}); v == nil {
		t.Fatal("the schedule does not show a gateway that trusts a clock that has stood still")
	}
}

func TestResumeNaiveVariantsBreak(t *testing.T) {
	cases := map[string]ResumeVariant{
		"guesses the present version": {GuessesPresentVersion: true},
		"trusts any history":          {TrustsAnyHistory: true},
		"forgets leavers":             {ForgetsLeavers: true},
		"asks nobody":                 {AsksNobody: true},
		"trusts old lists":            {TrustsOldLists: true},
		"asks no endpoint":            {AsksNoEndpoint: true},
		"sends no origins":            {SendsNoOrigins: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			requireViolation(t, func(c Chooser) *Violation { return RunResumeSimulation(c, variant) })
		})
	}
}
