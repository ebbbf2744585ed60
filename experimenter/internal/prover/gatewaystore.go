package prover

import (
	"maps"
	"slices"
	"strings"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
)

const (
	endpointRange = "endpoints/"
	outageRange   = "outages/"
)

func endpointKey(id model.EndpointID) string { return endpointRange + string(id) }
func outageKey(d model.DomainID) string      { return outageRange + string(d) }

// storeModel is the platform's store: items, and the changes that watches tell.
type storeModel struct {
	revision uint64
	items    map[string]replicator.Item
	changes  []replicator.Item
}

func (s *storeModel) put(key string) uint64 {
	s.revision++
	s.items[key] = replicator.Item{Key: key, Revision: s.revision}
	s.changes = append(s.changes, s.items[key])

	return s.revision
}

func (s *storeModel) delete(key string) {
	s.revision++
	delete(s.items, key)
	s.changes = append(s.changes, replicator.Item{Key: key, Revision: s.revision, Deleted: true})
}

// read returns the items of a range.
func (s *storeModel) read(prefix string) []replicator.Item {
	return slices.DeleteFunc(slices.Collect(maps.Values(s.items)), func(i replicator.Item) bool {
		return !strings.HasPrefix(i.Key, prefix)
	})
}

// since returns the changes of a range after a revision.
func (s *storeModel) since(prefix string, revision uint64) []replicator.Item {
	return slices.DeleteFunc(slices.Clone(s.changes[min(revision, uint64(len(s.changes))):]), func(i replicator.Item) bool {
		return !strings.HasPrefix(i.Key, prefix)
	})
}
