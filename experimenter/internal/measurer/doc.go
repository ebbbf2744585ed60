// Package measurer compares placement policies in a discrete-event simulation.
//
// The simulation runs the placement, admission and load exchange code of routers and sidecars against simulated engine
// endpoints. It reports the hit ratio of the prefix caches, the load skew and the control traffic of each policy. A second
// simulation reports how long a configuration version takes to reach all processes.
package measurer
