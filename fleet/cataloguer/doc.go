// Package cataloguer holds what a gateway believes of routes, client accounts and endpoints, and how old that belief is.
package cataloguer
