// Package placer decides which endpoint a request goes to.
//
// A chat has a home order: weighted rendezvous hashing over the declared endpoints that can serve it. Liveness and
// drain only mask members of that order, so a chat goes back to its home when the home comes back.
package placer
