// Package cli holds the commands of operators and callers.
package cli
