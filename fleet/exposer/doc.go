// Package exposer serves the operators' port of a process: metrics, health and readiness checks, and its view of the
// fleet.
package exposer
