package prover

import (
	"fmt"
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
	era      replicator.Era
	revision uint64
	items    map[string]replicator.Item
	changes  []replicator.Item
	// copied is what restore brings back.
	copied *fakeStore
}

func newFakeStore() fakeStore {
	return fakeStore{era: 1, items: map[string]replicator.Item{}}
}

func (s *fakeStore) position() replicator.Position {
	return replicator.Position{Era: s.era, Revision: s.revision}
}

// put writes an item, whose value differs from that of any other write, and returns its position.
func (s *fakeStore) put(key string) replicator.Position {
	s.revision++
	p := s.position()
	item := replicator.Item{Key: key, Value: encodePosition(p), Position: p}
	s.items[key] = item
	s.changes = append(s.changes, item)

	return p
}

// encodePosition returns the value of the item that was written at a position. The value outlasts a restore of the store.
func encodePosition(p replicator.Position) []byte {
	return fmt.Appendf(nil, "%d/%d", p.Era, p.Revision)
}

func (s *fakeStore) delete(key string) {
	s.revision++
	delete(s.items, key)
	s.changes = append(s.changes, replicator.Item{Key: key, Position: s.position(), IsDeleted: true})
}

// copy keeps the content for restore.
func (s *fakeStore) copy() {
	s.copied = &fakeStore{revision: s.revision, items: maps.Clone(s.items), changes: slices.Clone(s.changes)}
}

// restore brings back the copied content in a new era.
func (s *fakeStore) restore() {
	s.era++
	s.revision, s.items, s.changes = s.copied.revision, maps.Clone(s.copied.items), slices.Clone(s.copied.changes)
}

// read returns the items whose keys have a prefix, in any order.
func (s *fakeStore) read(prefix string) []replicator.Item {
	return s.withPrefix(slices.Collect(maps.Values(s.items)), prefix)
}

// changesSince returns the changes after a revision to keys with a prefix, in order.
func (s *fakeStore) changesSince(prefix string, revision uint64) []replicator.Item {
	return s.withPrefix(s.changes[min(revision, uint64(len(s.changes))):], prefix)
}

// withPrefix returns the items whose keys have a prefix, at their revisions in the current era.
func (s *fakeStore) withPrefix(items []replicator.Item, prefix string) []replicator.Item {
	var selected []replicator.Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, prefix) {
			item.Era = s.era
			selected = append(selected, item)
		}
	}

	return selected
}
