// Package cli starts one stand-in.
package cli
