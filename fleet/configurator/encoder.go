package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

const (
	// FleetPart is the name of the part with services, endpoints, domains and process keys, which every process holds.
	FleetPart = "fleet"
	// MaxValueBytes is the maximum size of a value in the configuration service.
	MaxValueBytes = 1 << 20

	accountShards    = 256
	contentHashBytes = 16
)

// EncodedVersion is a configuration version as stored by the configuration service. Values are keyed by ContentHash.
type EncodedVersion struct {
	Version  model.Version
	Manifest []byte
	Values   map[string][]byte
}

// ContentHash returns the key of a value: the first 16 bytes of its SHA-256 digest in hex.
func ContentHash(value []byte) string {
	sum := sha256.Sum256(value)

	return hex.EncodeToString(sum[:contentHashBytes])
}

// ManifestHash returns the hash of a manifest. It identifies the whole content of a version because the manifest holds the
// hash of each part.
func ManifestHash(manifest []byte) uint64 {
	return xxhash.Sum64(manifest)
}

// EncodeVersion splits a document into parts and returns them with their manifest. Client accounts are sharded, so a change
// to one account replaces one small value. It returns ErrValueTooLarge if a part exceeds MaxValueBytes.
func EncodeVersion(version model.Version, document model.Document) (EncodedVersion, error) {
	encoded := EncodedVersion{Version: version, Values: map[string][]byte{}}
	manifest := model.Manifest{Version: version, Parts: map[string]string{}}

	add := func(name string, part any) error {
		value, err := json.Marshal(part)
		if err != nil {
			return fmt.Errorf("configurator: part %s: %w", name, err)
		}
		if len(value) > MaxValueBytes {
			return fmt.Errorf("configurator: part %s: %w: %d bytes", name, ErrValueTooLarge, len(value))
		}
		hash := ContentHash(value)
		manifest.Parts[name] = hash
		encoded.Values[hash] = value

		return nil
	}

	if err := add(FleetPart, document.Fleet); err != nil {
		return EncodedVersion{}, err
	}
	for name, shard := range shardAccounts(document.Accounts) {
		if err := add(name, shard); err != nil {
			return EncodedVersion{}, err
		}
	}

	raw, err := json.Marshal(manifest)
	if err != nil {
		return EncodedVersion{}, fmt.Errorf("configurator: manifest %d: %w", version, err)
	}
	encoded.Manifest = raw

	return encoded, nil
}

func shardAccounts(accounts map[model.AccountID]model.Account) map[string]map[model.AccountID]model.Account {
	shards := map[string]map[model.AccountID]model.Account{}
	for id, account := range accounts {
		name := fmt.Sprintf("accounts-%03d", xxhash.Sum64String(string(id))%accountShards)
		if shards[name] == nil {
			shards[name] = map[model.AccountID]model.Account{}
		}
		shards[name][id] = account
	}

	return shards
}
