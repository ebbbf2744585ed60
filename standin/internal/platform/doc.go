// Package platform plays the configuration service, the VM list and the weight store.
package platform
