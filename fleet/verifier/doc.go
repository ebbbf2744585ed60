// Package verifier checks that a streamed answer belongs to the attempt that requested it and arrives complete and in order.
package verifier
