package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// Errors of the validators.
var (
	ErrEmpty      = errors.New("must not be empty")
	ErrNotAddress = errors.New("must be an IP number with a port")
	ErrNotURL     = errors.New("must be an http URL with an IP number")
	ErrOutOfRange = errors.New("is out of range")
)

// Missing returns the rows of a settings table that a page lacks.
func Missing(page string, options []Option) []string {
	var missing []string
	for _, o := range options {
		if row := o.Row(); !strings.Contains(page, row) {
			missing = append(missing, row)
		}
	}

	return missing
}

// NotEmpty checks that a string is set.
func NotEmpty(s *string) func() error {
	return func() error {
		if *s == "" {
			return ErrEmpty
		}

		return nil
	}
}

// Address checks for an IP number with a port; port 0 lets the kernel choose.
func Address(s *string) func() error {
	return func() error {
		if _, err := netip.ParseAddrPort(*s); err != nil {
			return ErrNotAddress
		}

		return nil
	}
}

// URL checks for an http URL whose host is an IP number.
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

// Range checks that a number lies between two bounds, both allowed.
func Range[T ~int | ~int64](n *T, least, most T) func() error {
	return func() error {
		if *n < least || *n > most {
			return fmt.Errorf("%w: must lie between %d and %d", ErrOutOfRange, least, most)
		}

		return nil
	}
}
