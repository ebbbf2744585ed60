package replicator

import "cmp"

// Era counts how often a store has come back from a copy of its content. Within an era, revisions only rise; a new era may
// use revisions of the one before again. It is 0 for a store that names none.
type Era uint64

// Position is a point in the history of a store.
type Position struct {
	Era      Era
	Revision uint64
}

// Compare returns a negative number if p is before other, zero if they are the same, and a positive number if p is after it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
