// Package caller implements the clients of routers and gateways that tests, the demo and load tests use.
package caller
