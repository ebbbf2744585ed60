// Package prover tests the fleet's state machines by deterministic simulation.
//
// A simulation runs state machines of the product on a virtual clock and in one goroutine. A Chooser seeded per run decides
// every event and fault, so a seed always replays the same schedule. The simulation checks properties of the product while
// it runs and at its end, and returns the first violation.
//
// Each simulation accepts a variant that disables single mechanisms. Tests require that such naive variants violate a
// property, which shows that the schedules exercise the mechanism.
package prover
