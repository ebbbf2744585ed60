// Package worker executes the requests of one endpoint on behalf of routers.
//
// Each request passes through a chain of filters before it is sent to the endpoint: idempotency keys, availability of the
// endpoint, placement of the chat, admission control, and quarantine of requests that crash endpoints. Each filter may
// refuse the request.
package worker
