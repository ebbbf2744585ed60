// Package hasher mixes hashes for rendezvous hashing.
package hasher
