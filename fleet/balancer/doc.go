// Package balancer chooses the endpoint for each request at one gateway.
//
// Requests of a session go to the endpoint that rendezvous hashing ranks first, within a bound on the load of each endpoint
// (bounded load); other requests go to the least loaded endpoint. The choice takes account of circuit breakers, outlier
// detection, cold starts, prefix caches and the load that other gateways report by gossip.
package balancer
