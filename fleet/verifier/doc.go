// Package verifier checks that a streamed response belongs to the attempt that requested it and arrives complete and in
// order.
package verifier
