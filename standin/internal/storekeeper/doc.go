// Package storekeeper plays the platform's store: ranges, watches, compaction, refusals and lost answers.
package storekeeper
