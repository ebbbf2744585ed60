package prover

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cardamompulley/fleet/model"
)

const seedsPerTest = 1000

// requireNoViolation fails with the history of the first violation.
func requireNoViolation(t *testing.T, p Property) {
	t.Helper()
	r := Check(p, 1, seedsPerTest)
	if r.FirstViolation == nil {
		return
	}
	for _, line := range r.FirstViolation.History {
		t.Log(line)
	}
	t.Fatalf("seeds %v: %v", r.FailedSeeds, r.FirstViolation)
}

// seedsPerBatch is the number of schedules that requireViolation runs before it looks for a violation.
const seedsPerBatch = 100

// requireViolation fails if the schedules do not detect the disabled mechanism.
func requireViolation(t *testing.T, simulation Simulation) {
	t.Helper()
	for first := uint64(1); first <= seedsPerTest; first += seedsPerBatch {
		if r := Check(Property{Run: simulation}, first, seedsPerBatch); r.FirstViolation != nil {
			return
		}
	}
	t.Fatalf("none of %d schedules violated a property", seedsPerTest)
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	requireNoViolation(t, Properties()[0])
}

func TestAtMostOnceNaiveVariantsBreak(t *testing.T) {
	cases := map[string]IdempotencyVariant{
		"ignores its start time":                {IgnoresStartTime: true},
		"skips earlier homes":                   {SkipsEarlierHomes: true},
		"treats an unreachable home as not-run": {TreatsUnreachableAsNotRun: true},
		"reports not-run on any error":          {ReportsNotRunOnError: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			requireViolation(t, func(c Chooser) *Violation { return RunIdempotencySimulation(c, variant) })
		})
	}
}

func TestAtMostOnceRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := RunIdempotencySimulation(choose, IdempotencyVariant{}); v != nil {
			t.Fatalf("%v\n%v", v, v.History)
		}
	})
}

func TestHistoryCheckerRejectsInvalidHistories(t *testing.T) {
	ran := func(response string) sendOutput { return sendOutput{outcome: model.OutcomeRan, response: response} }
	notRun := sendOutput{outcome: model.OutcomeNotRun}
	unknown := sendOutput{outcome: model.OutcomeUnknown}
	cases := map[string]struct {
		outputs []sendOutput
		isValid bool
	}{
		"one response twice":              {[]sendOutput{ran("a"), ran("a")}, true},
		"unknown, then its response":      {[]sendOutput{unknown, ran("a")}, true},
		"two responses":                   {[]sendOutput{ran("a"), ran("b")}, false},
		"ran, then not-run":               {[]sendOutput{ran("a"), notRun}, false},
		"not-run, then ran":               {[]sendOutput{notRun, ran("a")}, true},
		"unknown, response, then not-run": {[]sendOutput{unknown, ran("a"), notRun}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var history []porcupine.Operation
			for i, o := range c.outputs {
				history = append(history, porcupine.Operation{
					ClientId: i, Input: sendInput{key: "k"}, Call: int64(10 * i), Output: o, Return: int64(10*i + 5),
				})
			}
			if isValid := porcupine.CheckOperations(writeOnceRegister.ToModel(), history); isValid != c.isValid {
				t.Fatalf("valid = %t, want %t", isValid, c.isValid)
			}
		})
	}
}
