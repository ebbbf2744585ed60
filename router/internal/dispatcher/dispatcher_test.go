package dispatcher

import (
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// script plays failed attempts and then either a success or a refusal of the choice.
type script struct {
	faults []retrier.AttemptFailure
	then   *model.Refusal
	tries  int
}

func (s *script) dispatcher(p retrier.Policy, spend bool) *Dispatcher {
	p.Deadline = timekeeper.Minute

	return &Dispatcher{
		Request: retrier.State{Policy: p},
		Choose: func() *model.Refusal {
			if s.tries == len(s.faults) {
				return s.then
			}

			return nil
		},
		Attempt: func() *Failure {
			s.tries++
			if s.tries > len(s.faults) {
				return nil
			}

			return &Failure{
				AttemptFailure: s.faults[s.tries-1],
				Refusal:        model.NewRefusal(model.CodeEndpointFailed, "").WithRetryAfter(10),
			}
		},
		Spend:  func() bool { return spend },
		Failed: func(*Failure, retrier.Action) bool { return true },
		Now:    func() timekeeper.Millis { return 0 },
	}
}

func TestRunTable(t *testing.T) {
	ran, rejected, unreached := retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true}, retrier.AttemptFailure{ReachedEndpoint: true}, retrier.AttemptFailure{}
	none := model.NewRefusal(model.CodeNoEndpoint, "").WithRetryAfter(500)
	cases := []struct {
		name    string
		faults  []retrier.AttemptFailure
		then    *model.Refusal
		policy  retrier.Policy
		spend   bool
		tries   int
		code    model.Code
		outcome model.Outcome
		wait    timekeeper.Millis
	}{
		{"served at once", nil, nil, retrier.Policy{}, true, 1, "", "", 0},
		{"served at the second endpoint", []retrier.AttemptFailure{rejected}, nil, retrier.Policy{}, true, 2, "", "", 0},
		{"nothing to try", nil, none, retrier.Policy{}, true, 0, model.CodeNoEndpoint, model.OutcomeNotRun, 500},
		{"all rejected", []retrier.AttemptFailure{rejected, rejected}, none, retrier.Policy{}, true, 2, model.CodeEndpointFailed, model.OutcomeNotRun, 500},
		{"may have run", []retrier.AttemptFailure{ran}, nil, retrier.Policy{}, true, 1, model.CodeEndpointFailed, model.OutcomeUnknown, 10},
		{"ran once, then rejected", []retrier.AttemptFailure{ran, rejected}, none, retrier.Policy{CanRepeat: true}, true, 2, model.CodeEndpointFailed, model.OutcomeUnknown, 500},
		{"unreached costs nothing", []retrier.AttemptFailure{unreached, unreached}, nil, retrier.Policy{}, false, 3, "", "", 0},
		{"no budget", []retrier.AttemptFailure{rejected, rejected}, nil, retrier.Policy{}, false, 1, model.CodeEndpointFailed, model.OutcomeNotRun, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &script{faults: c.faults, then: c.then}
			_, refusal := s.dispatcher(c.policy, c.spend).Run()
			if s.tries != c.tries {
				t.Fatalf("%d attempts, want %d", s.tries, c.tries)
			}
			if c.code == "" {
				if refusal != nil {
					t.Fatalf("refused: %v", refusal)
				}

				return
			}
			if refusal == nil || refusal.Code != c.code || refusal.Outcome != c.outcome || refusal.RetryAfter != c.wait {
				t.Fatalf("refusal %+v", refusal)
			}
		})
	}
}
