package deduplicator

import (
	"github.com/google/uuid"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	uuidTimeVersion   = 7
	canonicalUUIDSize = 36
)

// CreatedAt returns the creation time inside a UUIDv7 key, false for any other key.
func CreatedAt(k model.IdempotencyKey) (timekeeper.Millis, bool) {
	if len(k) != canonicalUUIDSize {
		return 0, false
	}
	u, err := uuid.Parse(string(k))
	if err != nil || u.Version() != uuidTimeVersion {
		return 0, false
	}
	ms := timekeeper.Millis(0)
	for _, b := range u[:6] {
		ms = ms<<8 | timekeeper.Millis(b)
	}

	return ms, true
}
