// Package pauser holds back a read of a connection, as if the process were not running between the system call and the return
// from Read. Only tests import it; those of several servers begin a shutdown at that moment.
package pauser
