// Package inspector checks a configuration before it is sent: what gateways cannot use, entries that no request can reach, limits that
// contradict each other, and what differs from the configuration in force. It is pure; package platform reads the documents.
package inspector
