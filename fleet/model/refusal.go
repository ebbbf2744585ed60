package model

import (
	"errors"
	"fmt"

	"cardamompulley/fleet/timekeeper"
)

// Outcome states whether a refused request was executed.
type Outcome string

// The outcomes that a refusal can carry.
const (
	// OutcomeNotRun guarantees that the request was not executed, so repeating it is safe.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan means that the request was executed but its response is not available.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the machine-readable reason for a refusal. The values are part of the API.
type Code string

// Refusal codes.
const (
	CodeBadRequest              Code = "bad-request"
	CodeBodyTooLarge            Code = "body-too-large"
	CodeUnauthorized            Code = "unauthorized"
	CodeUnknownModel            Code = "unknown-model"
	CodeUnknownService          Code = "unknown-service"
	CodeKeyRequired             Code = "idempotency-key-required"
	CodeKeyConflict             Code = "idempotency-key-conflict"
	CodeKeyInProgress           Code = "idempotency-key-in-progress"
	CodeKeyStateUnknown         Code = "idempotency-key-unprovable"
	CodeKeyTableFull            Code = "idempotency-key-table-full"
	CodeNotHome                 Code = "not-home"
	CodePreviousHomeUnreachable Code = "previous-home-unreachable"
	CodeDeadlineTooShort        Code = "deadline-too-short"
	CodeRequestTimeout          Code = "request-timeout"
	CodeOverloaded              Code = "overloaded"
	CodeAboveLoadBound          Code = "above-load-bound"
	CodeEndpointCold            Code = "endpoint-cold"
	CodeEndpointDraining        Code = "endpoint-leaving"
	CodeDomainOutOfService      Code = "domain-out"
	CodeStaleView               Code = "stale-view"
	CodeChatMoved               Code = "chat-moved"
	CodeRequestQuarantined      Code = "request-condemned"
	CodeSuspectWaiting          Code = "suspect-waits"
	CodeEndpointFailed          Code = "endpoint-failed"
	CodeIncompleteResponse      Code = "incomplete"
	CodeNoEndpoint              Code = "no-endpoint"
	CodeEndpointUnreachable     Code = "endpoint-unreachable"
	CodeNotReady                Code = "not-ready"
	CodeStreamOriginUnknown     Code = "stream-origin-unknown"
	CodeSoftwareGone            Code = "software-gone"
)

// ErrRefused matches every Refusal in errors.Is.
var ErrRefused = errors.New("model: refused")

// Refusal is the error returned for a request that was not served. NextEndpoint, if set, is the endpoint to try next, and
// RetryAfter the time to wait before a retry: the earliest at which it can succeed. IsFinal means that a retry at another endpoint cannot
// succeed. IsUnforeseen means that nothing tells when a retry can succeed; RetryAfter is then the least time that it takes.
type Refusal struct {
	Code         Code
	Detail       string
	Outcome      Outcome
	RetryAfter   timekeeper.Millis
	NextEndpoint EndpointID
	IsFinal      bool
	IsUnforeseen bool
}

// NewRefusal returns a refusal of a request that was not executed.
func NewRefusal(code Code, detail string) *Refusal {
	return &Refusal{Code: code, Detail: detail, Outcome: OutcomeNotRun}
}

// Error returns the code, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("model: refused: %s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error {
	return ErrRefused
}

// WithOutcome sets the outcome and returns the refusal.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	r.Outcome = o

	return r
}

// WithRetryAfter sets the time after which the caller may retry and returns the refusal.
func (r *Refusal) WithRetryAfter(delay timekeeper.Millis) *Refusal {
	r.RetryAfter = delay

	return r
}

// AsUnforeseen marks the refusal as one of which nothing tells when a retry can succeed, and returns it.
func (r *Refusal) AsUnforeseen() *Refusal {
	r.IsUnforeseen = true

	return r
}

// WithNextEndpoint sets the endpoint to try next and returns the refusal.
func (r *Refusal) WithNextEndpoint(id EndpointID) *Refusal {
	r.NextEndpoint = id

	return r
}

// AsFinal marks the refusal as one that a retry at another endpoint cannot change and returns it.
func (r *Refusal) AsFinal() *Refusal {
	r.IsFinal = true

	return r
}
