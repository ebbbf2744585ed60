// Package watcher reads the configuration service and the VM list of the platform.
//
// Only a few processes of each failure domain watch the configuration service; the others poll it.
package watcher
