// Package plain plays a plain service whose bookings may not be repeated.
package plain
