// Package deduplicator runs the request of each idempotency key at most once without shared state.
//
// Each key has a home: the only endpoint that may run it, picked by rendezvous hashing over the endpoints that a service
// declares for keys. Changing these endpoints starts a new home generation. The home keeps a record of every key that it
// has started, refuses keys that may have run before its sidecar last started, and asks the homes of earlier generations
// to release a key before running it.
package deduplicator
