// Package pauser holds back a read of a connection, as if the process were not running between the system call and the return
// from Read. Tests use it to begin a shutdown at that moment.
package pauser
