// Package parser reads the requests of callers.
package parser
