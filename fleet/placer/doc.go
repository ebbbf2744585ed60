// Package placer chooses the endpoint that serves a request.
//
// Every chat has a home order: the declared endpoints that can serve it, ranked by weighted rendezvous hashing. The
// first available endpoint of the order is the home of the chat. Endpoints that are down or draining are skipped but
// keep their rank, so a chat returns to its home when the home comes back.
package placer
