// Package admitter decides what one endpoint runs now, later or not at all.
package admitter
