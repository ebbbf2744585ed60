// Package demonstrator runs the demo: it sends requests through a fleet of stand-ins, prints the results and checks them.
package demonstrator
