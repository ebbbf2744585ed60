// Package cli starts and stops the router process.
package cli
