// Package cli holds the commands of the experimenter.
package cli
