// Package launcher starts fleets of real processes, routers with sidecars or gateways, in front of stand-ins. The demo, load
// tests and end-to-end tests use it.
package launcher
