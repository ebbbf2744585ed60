// Package settings holds the settings table of the router.
package settings
