// Package plain implements a stand-in for a plain service whose bookings are not idempotent. It counts how often each
// booking ran and injects faults.
package plain
