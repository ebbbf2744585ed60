package configurator

import (
	"errors"
	"strings"
)

// Errors returned by this package; test for them with errors.Is.
var (
	ErrInvalid       = errors.New("configurator: invalid configuration")
	ErrStaleBase     = errors.New("configurator: patch is against another version")
	ErrValueTooLarge = errors.New("configurator: value too large")
	ErrMissingValue  = errors.New("configurator: value missing")
	ErrHashMismatch  = errors.New("configurator: value does not match its hash")
)

// ValidationErrors lists every error found in a configuration, one message each.
type ValidationErrors []string

// Error returns the messages, one per line.
func (e ValidationErrors) Error() string {
	return ErrInvalid.Error() + ":\n  " + strings.Join(e, "\n  ")
}

// Unwrap returns ErrInvalid for errors.Is.
func (e ValidationErrors) Unwrap() error {
	return ErrInvalid
}
