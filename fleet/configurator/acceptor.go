package configurator

import (
	"encoding/json"
	"errors"
	"fmt"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Verdict tells what an acceptor made of an offered manifest.
type Verdict string

// The verdicts on an offer.
const (
	VerdictAccepted   Verdict = "accepted"
	VerdictOlder      Verdict = "older"
	VerdictSame       Verdict = "same"
	VerdictConflict   Verdict = "conflict"
	VerdictInvalid    Verdict = "invalid"
	VerdictIncomplete Verdict = "incomplete"
)

// Acceptor decides which configuration is in force: a version only ever rises.
type Acceptor struct {
	needs    Needs
	current  *Snapshot
	rejected map[model.Version]uint64
	Starter  Starter
}

// NewAcceptor returns an acceptor that holds the selected parts and starts at the given instant.
func NewAcceptor(needs Needs, start timekeeper.Millis) *Acceptor {
	return &Acceptor{needs: needs, rejected: map[model.Version]uint64{}, Starter: NewStarter(start)}
}

// Current returns the snapshot in force, or nil before the first.
func (a *Acceptor) Current() *Snapshot {
	return a.current
}

// Version returns the version in force, zero before the first.
func (a *Acceptor) Version() model.Version {
	if a.current == nil {
		return 0
	}

	return a.current.Version
}

// Wants tells whether a peer's version and hash are worth fetching, and reports a conflict at the same version.
func (a *Acceptor) Wants(version model.Version, hash uint64) (bool, Verdict) {
	if version < a.Version() || version == 0 {
		return false, VerdictOlder
	}
	if version == a.Version() {
		if hash != a.current.Hash {
			return false, VerdictConflict
		}

		return false, VerdictSame
	}
	if rejected, ok := a.rejected[version]; ok && rejected == hash {
		return false, VerdictInvalid
	}

	return true, VerdictIncomplete
}

// Missing returns the hashes of the needed values that the snapshot in force lacks.
func (a *Acceptor) Missing(manifest []byte) ([]string, error) {
	var m model.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrInvalid, err)
	}
	var missing []string
	for name, hash := range m.Parts {
		if !a.needs(name) {
			continue
		}
		if a.current != nil && a.current.Values[hash] != nil {
			continue
		}
		missing = append(missing, hash)
	}

	return missing, nil
}

// Offer puts a higher, complete and valid version in force and says why it did not otherwise.
func (a *Acceptor) Offer(manifest []byte, values map[string][]byte) (Verdict, error) {
	var m model.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return VerdictInvalid, fmt.Errorf("%w: manifest: %w", ErrInvalid, err)
	}
	hash := ManifestHash(manifest)
	if wanted, verdict := a.Wants(m.Version, hash); !wanted {
		return verdict, nil
	}
	next, err := NewSnapshotAfter(a.current, manifest, a.gather(m, values), a.needs)
	if errors.Is(err, ErrMissingValue) || errors.Is(err, ErrHashMismatch) {
		return VerdictIncomplete, err
	}
	if err != nil {
		a.rejected[m.Version] = hash

		return VerdictInvalid, err
	}
	a.current = next
	for v := range a.rejected {
		if v <= next.Version {
			delete(a.rejected, v)
		}
	}

	return VerdictAccepted, nil
}

func (a *Acceptor) gather(m model.Manifest, values map[string][]byte) map[string][]byte {
	all := make(map[string][]byte, len(m.Parts))
	for _, hash := range m.Parts {
		if value, ok := values[hash]; ok {
			all[hash] = value
		} else if a.current != nil && a.current.Values[hash] != nil {
			all[hash] = a.current.Values[hash]
		}
	}

	return all
}
