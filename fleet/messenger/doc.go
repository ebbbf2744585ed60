// Package messenger holds the generated messages and clients between the processes of the fleet.
package messenger
