package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// Errors returned by the checks.
var (
	ErrEmpty      = errors.New("must not be empty")
	ErrNotAddress = errors.New("must be an IP number with a port")
	ErrNotURL     = errors.New("must be an http URL with an IP number")
	ErrOutOfRange = errors.New("is out of range")
)

// MissingRows returns the rows of the settings table that page does not contain. Tests use it to keep the documentation
// complete.
func MissingRows(page string, options []Option) []string {
	var missing []string
	for _, o := range options {
		if row := o.TableRow(); !strings.Contains(page, row) {
			missing = append(missing, row)
		}
	}

	return missing
}

// NotEmpty returns a check that a string is not empty.
func NotEmpty(s *string) func() error {
	return func() error {
		if *s == "" {
			return ErrEmpty
		}

		return nil
	}
}

// Address returns a check that a string is an IP address with a port. Port 0 lets the kernel choose the port.
func Address(s *string) func() error {
	return func() error {
		if _, err := netip.ParseAddrPort(*s); err != nil {
			return ErrNotAddress
		}

		return nil
	}
}

// URL returns a check that a string is an http URL whose host is an IP address with a port.
func URL(s *string) func() error {
	return func() error {
		u, err := url.Parse(*s)
		if err != nil || u.Scheme != "http" {
			return ErrNotURL
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return ErrNotURL
		}

		return nil
	}
}

// Range returns a check that a number lies between lowest and highest, inclusive.
func Range[T ~int | ~int64](n *T, lowest, highest T) func() error {
	return func() error {
		if *n < lowest || *n > highest {
			return fmt.Errorf("%w: must lie between %d and %d", ErrOutOfRange, lowest, highest)
		}

		return nil
	}
}
