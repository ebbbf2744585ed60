package prover

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// keyChecker checks the sends of each key against a register that is written at most once.
type keyChecker struct {
	operations []porcupine.Operation
	tick       int64
}

type keyInput struct {
	key string
}

type keyOutput struct {
	outcome model.Outcome
	answer  string
}

// responded adds one finished send; the tick orders events that share a millisecond.
func (c *keyChecker) responded(now timekeeper.Millis, a *keyAttempt, o model.Outcome, answer string) {
	c.tick++
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: a.number,
		Input:    keyInput{key: string(a.task.key.Key)},
		Call:     int64(a.called) << 16,
		Output:   keyOutput{outcome: o, answer: answer},
		Return:   int64(now)<<16 + c.tick,
	})
}

// keyModel is a register of one key: an answer is written once, not-run sees it empty, unknown may have written it.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			if in, ok := o.Input.(keyInput); ok {
				byKey[in.key] = append(byKey[in.key], o)
			}
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}

		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		out, ok := output.(keyOutput)
		if !ok {
			return nil
		}
		switch {
		case out.outcome == model.OutcomeNotRun && state == "":
			return []any{""}
		case out.outcome == model.OutcomeRan && (state == "" || state == "hidden" || state == out.answer):
			return []any{out.answer}
		case out.outcome == model.OutcomeUnknown && state == "":
			return []any{"", "hidden"}
		case out.outcome == model.OutcomeUnknown:
			return []any{state}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func (c *keyChecker) check() *Violation {
	if !porcupine.CheckOperations(keyModel.ToModel(), c.operations) {
		return &Violation{
			Promise: "at most once",
			Detail:  fmt.Sprintf("the history of %d sends has no order in which each key ran at most once", len(c.operations)),
		}
	}

	return nil
}
