// Package quarantiner limits the damage of requests that crash endpoints ("queries of death").
//
// A request that was in flight when an endpoint crashed is a suspect and runs in isolation. After QuarantineThreshold
// crashes it is quarantined: it is not run again until its crash record expires. Codes and events call it condemned.
package quarantiner
