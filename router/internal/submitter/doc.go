// Package submitter sends the requests of the own interface to endpoints through their sidecars.
package submitter
