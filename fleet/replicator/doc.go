// Package replicator keeps a copy of one range of a store that can only be read.
package replicator
