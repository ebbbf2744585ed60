package configurator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cardamompulley/fleet/model"
)

const accountPartPrefix = "accounts-"

// Snapshot is one validated configuration version, reduced to the parts that a process needs. It is immutable.
//
// Hash is the manifest hash, Values are keyed by content hash, and Endpoints holds the declared endpoints in sorted order.
type Snapshot struct {
	Version   model.Version
	Hash      uint64
	Fleet     model.Fleet
	Manifest  []byte
	Values    map[string][]byte
	Endpoints []model.EndpointID

	shards          map[string]shard
	endpointIndex   map[model.EndpointID]int
	accountByDigest map[[sha256.Size]byte]model.AccountID
}

// shard holds the client accounts of one part.
type shard map[model.AccountID]model.Account

// PartFilter reports whether a process needs a part, given its name.
type PartFilter func(part string) bool

// AllParts selects every part.
func AllParts(string) bool { return true }

// OnlyFleetPart selects only FleetPart.
func OnlyFleetPart(part string) bool { return part == FleetPart }

// NewSnapshot builds a snapshot from a manifest and values keyed by hash. It returns ErrMissingValue, ErrHashMismatch or
// ErrInvalid.
func NewSnapshot(manifest []byte, values map[string][]byte, filter PartFilter) (*Snapshot, error) {
	return NewSnapshotFrom(nil, manifest, values, filter)
}

// NewSnapshotFrom builds a snapshot like NewSnapshot and reuses the unchanged account shards of a previous one, if not nil.
func NewSnapshotFrom(previous *Snapshot, manifest []byte, values map[string][]byte, filter PartFilter) (*Snapshot, error) {
	var m model.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrInvalid, err)
	}
	s := &Snapshot{
		Version:         m.Version,
		Hash:            ManifestHash(manifest),
		Manifest:        manifest,
		Values:          map[string][]byte{},
		shards:          map[string]shard{},
		accountByDigest: map[[sha256.Size]byte]model.AccountID{},
	}
	document := model.Document{Accounts: map[model.AccountID]model.Account{}}
	for name, hash := range m.Parts {
		if !filter(name) {
			continue
		}
		if previous != nil && previous.shards[hash] != nil {
			s.Values[hash] = previous.Values[hash]
			s.shards[hash] = previous.shards[hash]
		} else if err := s.decodePart(name, hash, values, &document); err != nil {
			return nil, err
		}
		for id, account := range s.shards[hash] {
			document.Accounts[id] = account
		}
	}
	if err := Validate(document); err != nil {
		return nil, err
	}
	s.buildIndexes(document)

	return s, nil
}

// decodePart checks the hash of one part's value and decodes it: the fleet part into document, an account part into a shard.
func (s *Snapshot) decodePart(name, hash string, values map[string][]byte, document *model.Document) error {
	value, ok := values[hash]
	if !ok {
		return fmt.Errorf("%w: part %s", ErrMissingValue, name)
	}
	if ContentHash(value) != hash {
		return fmt.Errorf("%w: part %s", ErrHashMismatch, name)
	}
	s.Values[hash] = value
	if name == FleetPart {
		return DecodeStrict(value, &document.Fleet)
	}
	if !strings.HasPrefix(name, accountPartPrefix) {
		return fmt.Errorf("%w: part %s is not known", ErrInvalid, name)
	}
	var decoded shard
	if err := DecodeStrict(value, &decoded); err != nil {
		return err
	}
	s.shards[hash] = decoded

	return nil
}

func (s *Snapshot) buildIndexes(document model.Document) {
	s.Fleet = document.Fleet
	s.endpointIndex = make(map[model.EndpointID]int, len(s.Fleet.Endpoints))
	for id := range s.Fleet.Endpoints {
		s.Endpoints = append(s.Endpoints, id)
	}
	slices.Sort(s.Endpoints)
	for i, id := range s.Endpoints {
		s.endpointIndex[id] = i
	}
	for id, account := range document.Accounts {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(account.TokenSHA256)); err == nil {
			s.accountByDigest[digest] = id
		}
	}
}

// IndexOf returns the index of an endpoint in Endpoints, or -1 if it is not declared.
func (s *Snapshot) IndexOf(id model.EndpointID) int {
	if i, ok := s.endpointIndex[id]; ok {
		return i
	}

	return -1
}

// AccountByToken returns the client account that a bearer token belongs to. It looks up the token's digest, so that timing
// reveals nothing about valid tokens.
func (s *Snapshot) AccountByToken(token string) (model.AccountID, bool) {
	id, ok := s.accountByDigest[sha256.Sum256([]byte(token))]

	return id, ok
}

// AccountCount returns the number of client accounts in the snapshot.
func (s *Snapshot) AccountCount() int {
	return len(s.accountByDigest)
}

// IsProcessAuthorized reports whether a token belongs to a process with one of the roles. It compares digests in constant
// time.
func (s *Snapshot) IsProcessAuthorized(token string, roles ...model.Role) bool {
	digest := sha256.Sum256([]byte(token))
	presented := []byte(hex.EncodeToString(digest[:]))
	authorized := false
	for _, k := range s.Fleet.ProcessKeys {
		matches := subtle.ConstantTimeCompare(presented, []byte(k.TokenSHA256)) == 1
		if matches && slices.Contains(roles, k.Role) {
			authorized = true
		}
	}

	return authorized
}
