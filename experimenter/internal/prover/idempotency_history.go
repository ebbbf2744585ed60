package prover

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// historyChecker checks that the responses to the sends of each key are linearizable over writeOnceRegister.
type historyChecker struct {
	operations []porcupine.Operation
	sequence   int64
}

// sendInput and sendOutput are the input and output of a send in the checked history.
type sendInput struct {
	key string
}

type sendOutput struct {
	outcome  model.Outcome
	response string
}

// recordResponse adds a send that has ended. The sequence number orders responses within the same millisecond.
func (c *historyChecker) recordResponse(now timekeeper.Millis, a *keyedAttempt, o model.Outcome, response string) {
	c.sequence++
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: a.number,
		Input:    sendInput{key: string(a.request.key.Key)},
		Call:     int64(a.sentAt) << 16,
		Output:   sendOutput{outcome: o, response: response},
		Return:   int64(now)<<16 + c.sequence,
	})
}

// writeOnceRegister is the model of a key: a register to which one response is written at most once. Outcome ran writes the
// response or reads it. Outcome not-run requires the register to be empty. Outcome unknown may have written a response that
// the caller has not seen; the state is then hidden.
var writeOnceRegister = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			if in, ok := o.Input.(sendInput); ok {
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
		out, ok := output.(sendOutput)
		if !ok {
			return nil
		}
		switch {
		case out.outcome == model.OutcomeNotRun && state == "":
			return []any{""}
		case out.outcome == model.OutcomeRan && (state == "" || state == "hidden" || state == out.response):
			return []any{out.response}
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

// check returns a violation if the history is not linearizable.
func (c *historyChecker) check() *Violation {
	if !porcupine.CheckOperations(writeOnceRegister.ToModel(), c.operations) {
		return &Violation{
			Property: "at most once",
			Detail: fmt.Sprintf("no order of the %d sends explains the responses with each key running at most once",
				len(c.operations)),
		}
	}

	return nil
}
