// Package runner holds what every program does around its work: listeners, servers, signals and exit codes.
package runner
