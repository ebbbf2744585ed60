// Package cli implements the command line of standin, with one subcommand for each kind of stand-in.
package cli
