// Package loader reads and validates settings files in JSON with comments. It reports all errors of a file at once, each
// with its line number.
package loader
