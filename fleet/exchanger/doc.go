// Package exchanger keeps a process's view of the load and state of every endpoint within a byte budget.
package exchanger
