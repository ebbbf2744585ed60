package watcher

import (
	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// WatchersPerDomain is how many processes of a failure domain hold a watch at the configuration service.
const WatchersPerDomain = 2

// IsWatcher tells whether a VM is among the watchers of its failure domain by rendezvous rank over the VM list.
func IsWatcher(self model.VM, vms []model.VM) bool {
	own := xxhash.Sum64String(self.ID)
	above := 0
	for _, v := range vms {
		if v.Domain != self.Domain || v.ID == self.ID || v.State != model.VMLive {
			continue
		}
		if xxhash.Sum64String(v.ID) > own {
			above++
		}
	}

	return above < WatchersPerDomain
}
