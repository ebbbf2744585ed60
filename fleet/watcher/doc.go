// Package watcher reads the platform's configuration service and VM list.
package watcher
