// Package platform implements a stand-in for the platform's configuration service and VM list, with injectable faults.
package platform
