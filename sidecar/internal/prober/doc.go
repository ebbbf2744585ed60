// Package prober watches the endpoint beside the sidecar for crashes and cold starts.
package prober
