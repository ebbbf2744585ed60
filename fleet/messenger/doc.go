// Package messenger contains the generated protobuf messages and Connect clients and servers for the RPCs between the
// processes of the fleet.
package messenger
