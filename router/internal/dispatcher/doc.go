// Package dispatcher runs the attempts of a request: it sends the request to an endpoint and retries it at others where the
// retry policy allows.
package dispatcher
