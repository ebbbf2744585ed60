// Package verifier checks that an answer is the whole answer to its own request.
package verifier
