// Package exchanger keeps a process's table of the load and state of every endpoint up to date by gossip with its peers,
// within a budget of bytes per second.
package exchanger
