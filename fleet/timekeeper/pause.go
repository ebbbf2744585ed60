package timekeeper

import (
	"context"
	"time"
)

// Pause waits for a span and tells whether the context still stands.
func Pause(ctx context.Context, span Millis) bool {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
