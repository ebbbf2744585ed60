// Package storekeeper implements a stand-in for the platform's key-value store: range reads, watches and compaction, with
// injectable faults.
package storekeeper
