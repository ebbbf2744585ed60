// Package follower keeps one process in step with the fleet: configuration, VM list, loads and marks.
package follower
