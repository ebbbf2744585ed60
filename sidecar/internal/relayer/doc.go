// Package relayer sends a request to the sidecar's endpoint and passes on the response, either as a stream of server-sent
// events or as one body. It detects endpoints that stall, break off or respond to another request.
package relayer
