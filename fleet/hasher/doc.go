// Package hasher provides the hash mixing behind rendezvous hashing.
package hasher
