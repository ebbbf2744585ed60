package deduplicator

import (
	"github.com/google/uuid"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	uuidVersionWithTime = 7
	canonicalUUIDLength = 36
)

// KeyCreationTime returns the creation time contained in a UUIDv7 key, and false for any other key.
func KeyCreationTime(k model.IdempotencyKey) (timekeeper.Millis, bool) {
	if len(k) != canonicalUUIDLength {
		return 0, false
	}
	u, err := uuid.Parse(string(k))
	if err != nil || u.Version() != uuidVersionWithTime {
		return 0, false
	}
	created := timekeeper.Millis(0)
	for _, b := range u[:6] {
		created = created<<8 | timekeeper.Millis(b)
	}

	return created, true
}
