// Package bencher runs load tests on endpoints, both directly and through the fleet, and prints the throughput and latencies
// of both. One test goes through a router and the sidecars, the other through a gateway.
package bencher
