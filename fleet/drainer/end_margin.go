package drainer

import "cardamompulley/fleet/timekeeper"

const (
	// maxEndMargin bounds the margin of long graces, endMarginDivisor that of short ones.
	maxEndMargin     = 500 * timekeeper.Millis(1)
	endMarginDivisor = 8
)

// EndMargin returns how long before the end of a shutdown grace the requests that still run are to be ended, so that their callers get an
// error before the process exits.
func EndMargin(grace timekeeper.Millis) timekeeper.Millis {
	return min(maxEndMargin, grace/endMarginDivisor)
}
