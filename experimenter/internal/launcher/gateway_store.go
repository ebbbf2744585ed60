package launcher

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// PutItem writes an item of the store as JSON.
func (f *GatewayFleet) PutItem(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("launcher: encode item: %w", err)
	}

	return f.PutBytes(key, raw)
}

// PutBytes writes an item of the store that need not be JSON.
func (f *GatewayFleet) PutBytes(key string, value []byte) error {
	return callStandIn(http.MethodPut, f.Store, "/items/"+key, value)
}

func (f *GatewayFleet) deleteItem(key string) error {
	return callStandIn(http.MethodDelete, f.Store, "/items/"+key, nil)
}

// SetStoreFaults replaces the faults of the store, given as JSON.
func (f *GatewayFleet) SetStoreFaults(faults string) error {
	return callStandIn(http.MethodPut, f.Store, "/faults", []byte(faults))
}

// CopyStore lets the store keep a copy of its content for RestoreStore.
func (f *GatewayFleet) CopyStore() error {
	return callStandIn(http.MethodPost, f.Store, "/copy", nil)
}

// RestoreStore lets the store come back from its copy, in a new era.
func (f *GatewayFleet) RestoreStore() error {
	return callStandIn(http.MethodPost, f.Store, "/restore", nil)
}

// CompactStore lets the store discard the history of its changes.
func (f *GatewayFleet) CompactStore() error {
	return callStandIn(http.MethodPost, f.Store, "/compact", nil)
}
