// Package settings defines the settings of the router, with their defaults and limits.
package settings
