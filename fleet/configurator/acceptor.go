package configurator

import (
	"encoding/json"
	"errors"
	"fmt"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// Verdict is the result of comparing a manifest with the configuration in force.
type Verdict string

// Verdicts on an offered manifest.
const (
	// VerdictAccepted means that the version is now in force.
	VerdictAccepted Verdict = "accepted"
	// VerdictOlder means that the version is zero or lower than the one in force.
	VerdictOlder Verdict = "older"
	// VerdictSame means that the version is already in force.
	VerdictSame Verdict = "same"
	// VerdictConflict means that the version in force has the same number but another hash.
	VerdictConflict Verdict = "conflict"
	// VerdictInvalid means that the version cannot be decoded or fails validation.
	VerdictInvalid Verdict = "invalid"
	// VerdictIncomplete means that values are missing or do not match their hashes, or have not been fetched yet.
	VerdictIncomplete Verdict = "incomplete"
)

// Acceptor holds the configuration in force and replaces it only by higher versions. It is not safe for concurrent use.
type Acceptor struct {
	filter  PartFilter
	current *Snapshot
	// rejected holds the manifest hashes of invalid versions, so that they are not fetched again.
	rejected map[model.Version]uint64
	// Readiness tells whether the process has confirmed that its configuration is current.
	Readiness ReadinessGate
}

// NewAcceptor returns an acceptor without a configuration, for a process that needs the filtered parts and starts at start.
func NewAcceptor(filter PartFilter, start timekeeper.Millis) *Acceptor {
	return &Acceptor{filter: filter, rejected: map[model.Version]uint64{}, Readiness: NewReadinessGate(start)}
}

// Current returns the snapshot in force, or nil if there is none yet.
func (a *Acceptor) Current() *Snapshot {
	return a.current
}

// Version returns the version in force, or zero if there is none yet.
func (a *Acceptor) Version() model.Version {
	if a.current == nil {
		return 0
	}

	return a.current.Version
}

// ShouldFetch reports whether a peer's configuration with this version and manifest hash should be fetched. If not, the
// verdict says why; a version that was rejected as invalid is not fetched again.
func (a *Acceptor) ShouldFetch(version model.Version, hash uint64) (bool, Verdict) {
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

// MissingHashes returns the hashes of the values that the manifest's needed parts refer to and the snapshot in force lacks.
// It returns ErrInvalid if the manifest cannot be decoded.
func (a *Acceptor) MissingHashes(manifest []byte) ([]string, error) {
	var m model.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrInvalid, err)
	}
	var missing []string
	for name, hash := range m.Parts {
		if !a.filter(name) {
			continue
		}
		if a.current != nil && a.current.Values[hash] != nil {
			continue
		}
		missing = append(missing, hash)
	}

	return missing, nil
}

// Offer puts the version of a manifest in force if it is higher than the current one, complete and valid. Otherwise, the
// verdict says why not, with an error if the version is invalid or incomplete. Values are keyed by their hash; those of the
// snapshot in force are reused.
func (a *Acceptor) Offer(manifest []byte, values map[string][]byte) (Verdict, error) {
	var m model.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return VerdictInvalid, fmt.Errorf("%w: manifest: %w", ErrInvalid, err)
	}
	hash := ManifestHash(manifest)
	if fetch, verdict := a.ShouldFetch(m.Version, hash); !fetch {
		return verdict, nil
	}
	next, err := NewSnapshotFrom(a.current, manifest, a.collectValues(m, values), a.filter)
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

// collectValues returns the manifest's values that are among those given or in the snapshot in force.
func (a *Acceptor) collectValues(m model.Manifest, values map[string][]byte) map[string][]byte {
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
