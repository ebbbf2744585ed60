package prover

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cardamompulley/fleet/model"
)

const testSeeds = 1000

func proveTest(t *testing.T, p Promise) {
	t.Helper()
	r := Prove(p, 1, testSeeds)
	if r.First == nil {
		return
	}
	for _, line := range r.First.History {
		t.Log(line)
	}
	t.Fatalf("seeds %v: %v", r.Violations, r.First)
}

func mustFail(t *testing.T, schedule Schedule) {
	t.Helper()
	if r := Prove(Promise{Schedule: schedule}, 1, testSeeds); r.First == nil {
		t.Fatalf("no schedule of %d broke the naive variant", testSeeds)
	}
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	proveTest(t, Promises()[0])
}

func TestAtMostOnceNaiveVariantsBreak(t *testing.T) {
	cases := map[string]KeyVariant{
		"forgets its incarnation":     {ForgetsIncarnation: true},
		"skips earlier homes":         {SkipsEarlierHomes: true},
		"trusts an unreachable home":  {TrustsUnreachable: true},
		"claims not-run on any error": {ClaimsNotRunOnError: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			mustFail(t, func(c Chooser) *Violation { return RunKeySchedule(c, variant) })
		})
	}
}

func TestAtMostOnceRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := RunKeySchedule(choose, KeyVariant{}); v != nil {
			t.Fatalf("%v\n%v", v, v.History)
		}
	})
}

func TestKeyCheckerRejectsBadHistories(t *testing.T) {
	ran := func(answer string) keyOutput { return keyOutput{outcome: model.OutcomeRan, answer: answer} }
	notRun := keyOutput{outcome: model.OutcomeNotRun}
	unknown := keyOutput{outcome: model.OutcomeUnknown}
	cases := map[string]struct {
		outputs []keyOutput
		good    bool
	}{
		"one answer twice":              {[]keyOutput{ran("a"), ran("a")}, true},
		"unknown, then its answer":      {[]keyOutput{unknown, ran("a")}, true},
		"two answers":                   {[]keyOutput{ran("a"), ran("b")}, false},
		"ran, then not-run":             {[]keyOutput{ran("a"), notRun}, false},
		"not-run, then ran":             {[]keyOutput{notRun, ran("a")}, true},
		"unknown, answer, then not-run": {[]keyOutput{unknown, ran("a"), notRun}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var history []porcupine.Operation
			for i, o := range c.outputs {
				history = append(history, porcupine.Operation{
					ClientId: i, Input: keyInput{key: "k"}, Call: int64(10 * i), Output: o, Return: int64(10*i + 5),
				})
			}
			if good := porcupine.CheckOperations(keyModel.ToModel(), history); good != c.good {
				t.Fatalf("good = %t, want %t", good, c.good)
			}
		})
	}
}
