// Package replicator keeps a local replica of one key range of a versioned key-value store to which it does not write.
//
// The replica is updated from full reads and watch events of the store, and from copies that other processes hold.
package replicator
