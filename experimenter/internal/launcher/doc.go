// Package launcher starts a small fleet of real processes for the demo and for tests.
package launcher
