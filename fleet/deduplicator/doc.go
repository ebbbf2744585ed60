// Package deduplicator runs each idempotency key at most once without shared state.
//
// The home of a key is a function of the declared endpoints alone. The home keeps a record of every key that it has
// begun, refuses keys that an earlier incarnation may have begun, and asks the homes of earlier generations to release
// a key before it runs it.
package deduplicator
