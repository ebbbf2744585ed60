// Package configurator checks, splits and accepts numbered configurations.
package configurator
