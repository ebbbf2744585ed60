// Package cataloguer holds a gateway's view of the platform: its routes, services, client accounts and endpoints, and
// the time of the last change.
package cataloguer
