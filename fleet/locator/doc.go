// Package locator remembers which endpoints hold the cached prompt of a session.
package locator
