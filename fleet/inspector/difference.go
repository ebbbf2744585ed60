package inspector

import (
	"fmt"
	"maps"
	"slices"
)

// Change is what has become of an entry or of a field.
type Change string

// Changes.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is one difference between two configurations. Field is empty if a whole entry was added or removed; its fields follow.
// Place is that of the new configuration, except for what was removed with its entry.
type Difference struct {
	Place  Place  `json:"place"`
	Change Change `json:"change"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// keyField is the name under which differences of API keys are listed.
const keyField = "key"

// Compare returns what differs between the configuration in force and a new one, and a warning if gateways would not take the new one.
func Compare(inForce, next *Document) ([]Difference, []Finding) {
	before, after := indexEntries(inForce), indexEntries(next)
	var ds []Difference
	for _, k := range entryOrder(inForce, next) {
		b, hadIt := before[k]
		a, hasIt := after[k]
		switch {
		case !hadIt:
			ds = append(ds, Difference{Place: a.Place, Change: ChangeAdded})
		case !hasIt:
			ds = append(ds, Difference{Place: b.Place, Change: ChangeRemoved})
		}
		p := a.Place
		if !hasIt {
			p = b.Place
		}
		ds = append(ds, compareFields(p, b.Fields, a.Fields)...)
		ds = append(ds, compareKeys(p, b.keys, a.keys)...)
	}
	var n notes
	if next.Version <= inForce.Version {
		n.warn(Place{Kind: PlaceDocument}, fmt.Sprintf("version %d is not higher than version %d in force: gateways ignore it",
			next.Version, inForce.Version))
	}

	return ds, n.findings
}

// entryKey tells entries apart; occurrence counts entries of one name.
type entryKey struct {
	kind       PlaceKind
	name       string
	occurrence int
}

type indexedEntry struct {
	Entry
	keys []string
}

func indexEntries(d *Document) map[entryKey]indexedEntry {
	index := map[entryKey]indexedEntry{}
	accounts := d.Accounts
	for i, k := range entryKeys(d) {
		e := indexedEntry{Entry: d.Entries[i]}
		if k.kind == PlaceAccount && len(accounts) > 0 {
			e.keys, accounts = accounts[0].Keys, accounts[1:]
		}
		index[k] = e
	}

	return index
}

// entryKeys returns the keys of the entries of a document, in their order.
func entryKeys(d *Document) []entryKey {
	counts := map[entryKey]int{}
	keys := make([]entryKey, 0, len(d.Entries))
	for _, e := range d.Entries {
		k := entryKey{kind: e.Place.Kind, name: e.Place.Name}
		counts[k]++
		k.occurrence = counts[k]
		keys = append(keys, k)
	}

	return keys
}

// entryOrder returns the keys of the new document and after them those that are only in the one in force.
func entryOrder(inForce, next *Document) []entryKey {
	order := entryKeys(next)
	isNew := map[entryKey]bool{}
	for _, k := range order {
		isNew[k] = true
	}
	for _, k := range entryKeys(inForce) {
		if !isNew[k] {
			order = append(order, k)
		}
	}

	return order
}

func compareFields(p Place, before, after map[string]string) []Difference {
	names := map[string]string{}
	maps.Copy(names, before)
	maps.Copy(names, after)
	var ds []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b, hadIt := before[name]
		a, hasIt := after[name]
		switch {
		case !hadIt:
			ds = append(ds, Difference{Place: p, Change: ChangeAdded, Field: name, After: a})
		case !hasIt:
			ds = append(ds, Difference{Place: p, Change: ChangeRemoved, Field: name, Before: b})
		case a != b:
			ds = append(ds, Difference{Place: p, Change: ChangeChanged, Field: name, Before: b, After: a})
		}
	}

	return ds
}

// compareKeys compares the API keys of an account and shows them shortened.
func compareKeys(p Place, before, after []string) []Difference {
	var ds []Difference
	for _, key := range after {
		if !slices.Contains(before, key) {
			ds = append(ds, Difference{Place: p, Change: ChangeAdded, Field: keyField, After: ShortenKey(key)})
		}
	}
	for _, key := range before {
		if !slices.Contains(after, key) {
			ds = append(ds, Difference{Place: p, Change: ChangeRemoved, Field: keyField, Before: ShortenKey(key)})
		}
	}

	return ds
}
