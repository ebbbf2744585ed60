package forwarder

import (
	"errors"
	"fmt"
)

// attemptError is why an attempt has failed. Its cause holds what an endpoint has sent, or addresses, and is for the log alone.
type attemptError struct {
	reason, cause error
}

// Error returns the reason and its cause, for the log.
func (e *attemptError) Error() string {
	return fmt.Sprintf("%v: %v", e.reason, e.cause)
}

// Unwrap lets callers test for both.
func (e *attemptError) Unwrap() []error {
	return []error{e.reason, e.cause}
}

// callerText returns what the caller is told of a failed attempt.
func callerText(err error) string {
	var attempt *attemptError
	if errors.As(err, &attempt) {
		return attempt.reason.Error()
	}

	return err.Error()
}
