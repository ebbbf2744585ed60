package model

import (
	"errors"
	"fmt"

	"cardamompulley/fleet/timekeeper"
)

// Outcome tells a caller whether the work of a refused request ran.
type Outcome string

// The outcomes that a refusal can carry.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)

// Code is the stable name of the reason for a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest         Code = "bad-request"
	CodeBodyTooLarge       Code = "body-too-large"
	CodeUnauthorized       Code = "unauthorized"
	CodeUnknownModel       Code = "unknown-model"
	CodeUnknownService     Code = "unknown-service"
	CodeKeyRequired        Code = "idempotency-key-required"
	CodeKeyConflict        Code = "idempotency-key-conflict"
	CodeKeyInProgress      Code = "idempotency-key-in-progress"
	CodeKeyUnprovable      Code = "idempotency-key-unprovable"
	CodeKeyTableFull       Code = "idempotency-key-table-full"
	CodeNotHome            Code = "not-home"
	CodePredecessorUnknown Code = "previous-home-unreachable"
	CodeDeadline           Code = "deadline-too-short"
	CodeRequestTimeout     Code = "request-timeout"
	CodeOverloaded         Code = "overloaded"
	CodeAboveBound         Code = "above-load-bound"
	CodeCold               Code = "endpoint-cold"
	CodeLeaving            Code = "endpoint-leaving"
	CodeDomainOut          Code = "domain-out"
	CodeStale              Code = "stale-view"
	CodeMovedChat          Code = "chat-moved"
	CodeCondemned          Code = "request-condemned"
	CodeSuspectBusy        Code = "suspect-waits"
	CodeEndpointFailed     Code = "endpoint-failed"
	CodeIncomplete         Code = "incomplete"
	CodeNoEndpoint         Code = "no-endpoint"
	CodeUnreachable        Code = "endpoint-unreachable"
	CodeNotReady           Code = "not-ready"
)

// ErrRefused is matched by every refusal.
var ErrRefused = errors.New("model: refused")

// Refusal is the final answer to a request that was not served.
type Refusal struct {
	Code       Code
	Detail     string
	Outcome    Outcome
	RetryAfter timekeeper.Millis
	Next       EndpointID
	Final      bool
}

// NewRefusal returns a refusal of work that did not run.
func NewRefusal(code Code, detail string) *Refusal {
	return &Refusal{Code: code, Detail: detail, Outcome: OutcomeNotRun}
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("model: refused: %s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// Unwrap makes errors.Is find ErrRefused.
func (r *Refusal) Unwrap() error {
	return ErrRefused
}

// WithOutcome sets the outcome and returns the refusal.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	r.Outcome = o

	return r
}

// WithRetryAfter sets the span after which coming back may help.
func (r *Refusal) WithRetryAfter(span timekeeper.Millis) *Refusal {
	r.RetryAfter = span

	return r
}

// WithNext names the endpoint to try next.
func (r *Refusal) WithNext(id EndpointID) *Refusal {
	r.Next = id

	return r
}

// AsFinal marks that no other endpoint can do better.
func (r *Refusal) AsFinal() *Refusal {
	r.Final = true

	return r
}
