package gateway

import (
	"context"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// pause waits and tells whether the context still stands.
func pause(ctx context.Context, span timekeeper.Millis) bool {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
