// Package settings holds the settings table of the sidecar.
package settings
