// Package follower keeps a process's view of the fleet up to date: the configuration, the VM list, the loads of endpoints
// and the crash records of requests.
//
// A Follower reads the configuration and the VM list from the platform's services and exchanges its view with other
// processes by gossip.
package follower
