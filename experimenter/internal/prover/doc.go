// Package prover drives the cores of the fleet through random schedules of faults and checks the histories.
package prover
