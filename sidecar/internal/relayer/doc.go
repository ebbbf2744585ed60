// Package relayer sends one request to the endpoint and relays the pieces of its answer.
package relayer
