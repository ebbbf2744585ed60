package resumer

import (
	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
)

// StreamKey identifies a stream by the attempt that brought its first event, within a client account and a service.
type StreamKey uint64

// NewStreamKey returns the key of the stream that an attempt began.
func NewStreamKey(attempt model.AttemptID, account model.AccountID, service model.ServiceID) StreamKey {
	return StreamKey(xxhash.Sum64String(string(attempt) + "\x00" + string(account) + "\x00" + string(service)))
}
