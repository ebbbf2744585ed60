package configurator

import (
	"errors"
	"strings"
)

// Errors that callers test with errors.Is.
var (
	ErrInvalid       = errors.New("configurator: invalid configuration")
	ErrStaleBase     = errors.New("configurator: patch is against another version")
	ErrValueTooLarge = errors.New("configurator: value too large")
	ErrMissingValue  = errors.New("configurator: value missing")
	ErrHashMismatch  = errors.New("configurator: value does not match its hash")
)

// FaultList is the error that lists every fault of a configuration.
type FaultList []string

// Error joins the faults, one a line.
func (f FaultList) Error() string {
	return ErrInvalid.Error() + ":\n  " + strings.Join(f, "\n  ")
}

// Unwrap makes errors.Is find ErrInvalid.
func (f FaultList) Unwrap() error {
	return ErrInvalid
}
