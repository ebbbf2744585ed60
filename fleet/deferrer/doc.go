// Package deferrer decides when a caller that was refused comes back: not before what it wants can be possible, apart from the other
// callers that were refused, and early enough that it can still be served.
package deferrer
