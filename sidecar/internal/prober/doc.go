// Package prober polls the status report of the sidecar's endpoint to detect crashes, restarts and cold starts.
package prober
