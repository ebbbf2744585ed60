// Package settings defines the sidecar's settings, their defaults and their permitted values.
package settings
