package watcher

import (
	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// WatchersPerDomain is the number of processes per failure domain that watch the configuration service.
const WatchersPerDomain = 2

// IsWatcher reports whether a VM is among the watchers of its failure domain: the live VMs with the highest hashes of their
// IDs. All processes with the same VM list come to the same result.
func IsWatcher(self model.VM, vms []model.VM) bool {
	selfRank := xxhash.Sum64String(self.ID)
	higherRanked := 0
	for _, v := range vms {
		if v.Domain != self.Domain || v.ID == self.ID || v.State != model.VMLive {
			continue
		}
		if xxhash.Sum64String(v.ID) > selfRank {
			higherRanked++
		}
	}

	return higherRanked < WatchersPerDomain
}
