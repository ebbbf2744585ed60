package submitter

import (
	"testing"

	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
)

// A request that may have run must not be sent again unless it is idempotent. A request with an idempotency key may be sent
// again only after a refusal by a sidecar that is not the home of the key or has no current view of the fleet.
func TestActionAfterRefusal(t *testing.T) {
	refusal := func(code model.Code, o model.Outcome) *model.Refusal {
		return model.NewRefusal(code, "").WithOutcome(o)
	}
	plain, idempotent, keyed := &messenger.RunRequest{}, &messenger.RunRequest{Idempotent: true}, &messenger.RunRequest{IdempotencyKey: "k"}
	cases := []struct {
		name    string
		run     *messenger.RunRequest
		refusal *model.Refusal
		want    retrier.Action
	}{
		{"not run", plain, refusal(model.CodeEndpointUnreachable, model.OutcomeNotRun), retrier.ActionRetry},
		{"unknown, not idempotent", plain, refusal(model.CodeEndpointUnreachable, model.OutcomeUnknown), retrier.ActionGiveUp},
		{"unknown, idempotent", idempotent, refusal(model.CodeEndpointFailed, model.OutcomeUnknown), retrier.ActionRetry},
		{"keyed, unknown", keyed, refusal(model.CodeEndpointFailed, model.OutcomeUnknown), retrier.ActionGiveUp},
		{"keyed, not run", keyed, refusal(model.CodeOverloaded, model.OutcomeNotRun), retrier.ActionGiveUp},
		{"keyed, another home", keyed, refusal(model.CodeNotHome, model.OutcomeUnknown), retrier.ActionRedirect},
		{"keyed, stale view", keyed, refusal(model.CodeStaleView, model.OutcomeNotRun), retrier.ActionRedirect},
		{"chat moved", plain, refusal(model.CodeChatMoved, model.OutcomeNotRun), retrier.ActionRedirect},
		{"final", idempotent, refusal(model.CodeRequestQuarantined, model.OutcomeUnknown).AsFinal(), retrier.ActionGiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := &job{request: &Request{RunRequest: c.run}}
			r := retrier.State{Policy: retrier.Policy{CanRepeat: c.run.Idempotent, Deadline: timekeeper.Minute}}
			if got := r.Decide(j.attemptFailure(c.refusal), func() bool { return true }, 0); got != c.want {
				t.Fatalf("action %s, want %s", got, c.want)
			}
		})
	}
}
