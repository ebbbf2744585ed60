// Package cli implements the command line of experimenter, with one subcommand for each kind of experiment.
package cli
