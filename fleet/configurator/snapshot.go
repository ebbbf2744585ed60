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

const accountPrefix = "accounts-"

// Snapshot is one checked configuration version, never changed once built.
type Snapshot struct {
	Version   model.Version
	Hash      uint64
	Fleet     model.Fleet
	Manifest  []byte
	Values    map[string][]byte
	Endpoints []model.EndpointID

	shards   map[string]shard
	index    map[model.EndpointID]int
	accounts map[[sha256.Size]byte]model.AccountID
}

// shard is the client accounts of one part.
type shard map[model.AccountID]model.Account

// Needs selects the parts that a process holds.
type Needs func(part string) bool

// NeedsAll selects every part.
func NeedsAll(string) bool { return true }

// NeedsFleet selects only the part that every process holds.
func NeedsFleet(part string) bool { return part == FleetPart }

// NewSnapshot builds a snapshot from values named by hash, or returns ErrMissingValue, ErrHashMismatch or ErrInvalid.
func NewSnapshot(manifest []byte, values map[string][]byte, needs Needs) (*Snapshot, error) {
	return NewSnapshotAfter(nil, manifest, values, needs)
}

// NewSnapshotAfter builds a snapshot like NewSnapshot and takes unchanged account shards from an earlier one.
func NewSnapshotAfter(earlier *Snapshot, manifest []byte, values map[string][]byte, needs Needs) (*Snapshot, error) {
	var m model.Manifest
	if err := json.Unmarshal(manifest, &m); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrInvalid, err)
	}
	s := &Snapshot{
		Version:  m.Version,
		Hash:     ManifestHash(manifest),
		Manifest: manifest,
		Values:   map[string][]byte{},
		shards:   map[string]shard{},
		accounts: map[[sha256.Size]byte]model.AccountID{},
	}
	document := model.Document{Accounts: map[model.AccountID]model.Account{}}
	for name, hash := range m.Parts {
		if !needs(name) {
			continue
		}
		if earlier != nil && earlier.shards[hash] != nil {
			s.Values[hash] = earlier.Values[hash]
			s.shards[hash] = earlier.shards[hash]
		} else if err := s.read(name, hash, values, &document); err != nil {
			return nil, err
		}
		for id, account := range s.shards[hash] {
			document.Accounts[id] = account
		}
	}
	if err := Check(document); err != nil {
		return nil, err
	}
	s.fill(document)

	return s, nil
}

// read checks and decodes one part.
func (s *Snapshot) read(name, hash string, values map[string][]byte, document *model.Document) error {
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
	if !strings.HasPrefix(name, accountPrefix) {
		return fmt.Errorf("%w: part %s is not known", ErrInvalid, name)
	}
	var decoded shard
	if err := DecodeStrict(value, &decoded); err != nil {
		return err
	}
	s.shards[hash] = decoded

	return nil
}

func (s *Snapshot) fill(document model.Document) {
	s.Fleet = document.Fleet
	s.index = make(map[model.EndpointID]int, len(s.Fleet.Endpoints))
	for id := range s.Fleet.Endpoints {
		s.Endpoints = append(s.Endpoints, id)
	}
	slices.Sort(s.Endpoints)
	for i, id := range s.Endpoints {
		s.index[id] = i
	}
	for id, account := range document.Accounts {
		var digest [sha256.Size]byte
		if _, err := hex.Decode(digest[:], []byte(account.TokenSHA256)); err == nil {
			s.accounts[digest] = id
		}
	}
}

// IndexOf returns the place of an endpoint in Endpoints, or -1.
func (s *Snapshot) IndexOf(id model.EndpointID) int {
	if i, ok := s.index[id]; ok {
		return i
	}

	return -1
}

// Account returns the client account of a bearer token; the lookup is by digest, so its timing tells nothing of tokens.
func (s *Snapshot) Account(token string) (model.AccountID, bool) {
	id, ok := s.accounts[sha256.Sum256([]byte(token))]

	return id, ok
}

// Accounts returns how many client accounts the snapshot holds.
func (s *Snapshot) Accounts() int {
	return len(s.accounts)
}

// AdmitsProcess tells whether a token belongs to a process of one of the roles, comparing in constant time.
func (s *Snapshot) AdmitsProcess(token string, roles ...model.Role) bool {
	digest := sha256.Sum256([]byte(token))
	presented := []byte(hex.EncodeToString(digest[:]))
	admitted := false
	for _, k := range s.Fleet.ProcessKeys {
		same := subtle.ConstantTimeCompare(presented, []byte(k.TokenSHA256)) == 1
		if same && slices.Contains(roles, k.Role) {
			admitted = true
		}
	}

	return admitted
}
