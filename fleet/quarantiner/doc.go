// Package quarantiner limits the damage of requests that crash endpoints ("queries of death").
//
// What was in flight when an endpoint crashed is a suspect: the request and, at a gateway, each part of its prompt that other
// requests share. Processes tell each other which crashes count against a suspect. After a number of them it is quarantined:
// requests with it are not run until its crashes expire or one of them is answered in whole. A sidecar runs suspects in isolation
// before that (Guard); a gateway cannot, and tolerates more crashes (CrashTracker). Codes and events call quarantined condemned.
package quarantiner
