// Package submitter sends the requests of callers to endpoints through their sidecars. It chooses the endpoint of each
// attempt, retries and redirects within a retry budget, and verifies that responses arrive complete.
package submitter
