package prover

import (
	"maps"
	"slices"
	"strings"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/replicator"
)

const (
	endpointPrefix = "endpoints/"
	outagePrefix   = "outages/"
)

func endpointKey(id model.EndpointID) string { return endpointPrefix + string(id) }
func outageKey(d model.DomainID) string      { return outagePrefix + string(d) }

// fakeStore is an in-memory version of the platform's key-value store. Changes are the events that a watch delivers; the
// change of revision n is at index n-1.
type fakeStore struct {
	revision uint64
	items    map[string]replicator.Item
	changes  []replicator.Item
}

func (s *fakeStore) put(key string) uint64 {
	s.revision++
	s.items[key] = replicator.Item{Key: key, Position: replicator.Position{Revision: s.revision}}
	s.changes = append(s.changes, s.items[key])

	return s.revision
}

func (s *fakeStore) delete(key string) {
	s.revision++
	delete(s.items, key)
	s.changes = append(s.changes, replicator.Item{Key: key, Position: replicator.Position{Revision: s.revision}, IsDeleted: true})
}

// read returns the items whose keys have a prefix, in any order.
func (s *fakeStore) read(prefix string) []replicator.Item {
	return slices.DeleteFunc(slices.Collect(maps.Values(s.items)), func(i replicator.Item) bool {
		return !strings.HasPrefix(i.Key, prefix)
	})
}

// changesSince returns the changes after a revision to keys with a prefix, in order.
func (s *fakeStore) changesSince(prefix string, revision uint64) []replicator.Item {
	return slices.DeleteFunc(slices.Clone(s.changes[min(revision, uint64(len(s.changes))):]), func(i replicator.Item) bool {
		return !strings.HasPrefix(i.Key, prefix)
	})
}
