package dispatcher

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// scriptedAttempts fails one attempt with each of failures. After these, choosing an endpoint is refused with finalRefusal,
// or the next attempt succeeds if finalRefusal is nil.
type scriptedAttempts struct {
	failures     []retrier.AttemptFailure
	finalRefusal *model.Refusal
	attempts     int
}

func (s *scriptedAttempts) dispatcher(p retrier.Policy, hasBudget bool) *Dispatcher {
	p.Deadline = timekeeper.Minute

	return &Dispatcher{
		RetryState: retrier.State{Policy: p},
		ChooseEndpoint: func() *model.Refusal {
			if s.attempts == len(s.failures) {
				return s.finalRefusal
			}

			return nil
		},
		SendAttempt: func() *Failure {
			s.attempts++
			if s.attempts > len(s.failures) {
				return nil
			}

			return &Failure{
				AttemptFailure: s.failures[s.attempts-1],
				Refusal:        model.NewRefusal(model.CodeEndpointFailed, "").WithRetryAfter(10),
			}
		},
		TrySpendRetry: func() bool { return hasBudget },
		HandleFailure: func(*Failure, retrier.Action) bool { return true },
		Now:           func() timekeeper.Millis { return 0 },
	}
}

func TestRun(t *testing.T) {
	ran, rejected, unreached := retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true},
		retrier.AttemptFailure{ReachedEndpoint: true}, retrier.AttemptFailure{}
	noEndpoint := model.NewRefusal(model.CodeNoEndpoint, "").WithRetryAfter(500)
	cases := []struct {
		name         string
		failures     []retrier.AttemptFailure
		finalRefusal *model.Refusal
		policy       retrier.Policy
		hasBudget    bool
		attempts     int
		code         model.Code
		outcome      model.Outcome
		retryAfter   timekeeper.Millis
	}{
		{"served at the first endpoint", nil, nil, retrier.Policy{}, true, 1, "", "", 0},
		{"served at the second endpoint", []retrier.AttemptFailure{rejected}, nil, retrier.Policy{}, true, 2, "", "", 0},
		{"no endpoint available", nil, noEndpoint, retrier.Policy{}, true, 0, model.CodeNoEndpoint, model.OutcomeNotRun, 500},
		{"rejected by all endpoints", []retrier.AttemptFailure{rejected, rejected}, noEndpoint, retrier.Policy{}, true, 2, model.CodeEndpointFailed, model.OutcomeNotRun, 500},
		{"may have run, not repeatable", []retrier.AttemptFailure{ran}, nil, retrier.Policy{}, true, 1,
			model.CodeEndpointFailed, model.OutcomeUnknown, 10},
		{"ran once, then rejected", []retrier.AttemptFailure{ran, rejected}, noEndpoint, retrier.Policy{CanRepeat: true}, true, 2, model.CodeEndpointFailed, model.OutcomeUnknown, 500},
		{"unreached endpoints use no retry budget", []retrier.AttemptFailure{unreached, unreached}, nil, retrier.Policy{}, false, 3, "", "", 0},
		{"retry budget exhausted", []retrier.AttemptFailure{rejected, rejected}, nil, retrier.Policy{}, false, 1,
			model.CodeEndpointFailed, model.OutcomeNotRun, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scriptedAttempts{failures: c.failures, finalRefusal: c.finalRefusal}
			_, refusal := s.dispatcher(c.policy, c.hasBudget).Run()
			if s.attempts != c.attempts {
				t.Fatalf("%d attempts, want %d", s.attempts, c.attempts)
			}
			if c.code == "" {
				if refusal != nil {
					t.Fatalf("request refused: %v", refusal)
				}

				return
			}
			if refusal == nil || refusal.Code != c.code || refusal.Outcome != c.outcome || refusal.RetryAfter != c.retryAfter {
				t.Fatalf("unexpected refusal: %+v", refusal)
			}
		})
	}
}
