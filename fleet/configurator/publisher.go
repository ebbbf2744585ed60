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
	// FleetPart is the name of the part that every process holds.
	FleetPart = "fleet"
	// MaxValueBytes is the largest value that the configuration service keeps.
	MaxValueBytes = 1 << 20

	accountShards   = 256
	contentHashSize = 16
)

// Published is one configuration version as the values of the configuration service.
type Published struct {
	Version  model.Version
	Manifest []byte
	Values   map[string][]byte
}

// ContentHash names a value by its content.
func ContentHash(value []byte) string {
	sum := sha256.Sum256(value)

	return hex.EncodeToString(sum[:contentHashSize])
}

// ManifestHash identifies the whole content of a version.
func ManifestHash(manifest []byte) uint64 {
	return xxhash.Sum64(manifest)
}

// Publish splits a document into values and returns an error when one is too large.
func Publish(version model.Version, document model.Document) (Published, error) {
	published := Published{Version: version, Values: map[string][]byte{}}
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
		published.Values[hash] = value

		return nil
	}

	if err := add(FleetPart, document.Fleet); err != nil {
		return Published{}, err
	}
	for name, shard := range shardAccounts(document.Accounts) {
		if err := add(name, shard); err != nil {
			return Published{}, err
		}
	}

	raw, err := json.Marshal(manifest)
	if err != nil {
		return Published{}, fmt.Errorf("configurator: manifest %d: %w", version, err)
	}
	published.Manifest = raw

	return published, nil
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
