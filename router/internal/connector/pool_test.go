package connector

import (
	"context"
	"net"
	"testing"
	"time"

	"cardamompulley/fleet/timekeeper"
)

func TestPoolClosesConnOfEndedRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	tests := []struct {
		name       string
		endRequest func(context.CancelFunc)
		isReused   bool
	}{
		{"request goes on", func(context.CancelFunc) {}, true},
		{"request has ended", func(cancel context.CancelFunc) { cancel() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(Timeouts{DialTimeout: timekeeper.Second, AckTimeout: timekeeper.Minute}, timekeeper.NewSystemClock())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c, err := p.Get(ctx, "e", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			tt.endRequest(cancel)
			p.Put(c)
			next, err := p.Get(t.Context(), "e", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer next.Close()
			if next.IsReused != tt.isReused {
				t.Errorf("reused %v, want %v", next.IsReused, tt.isReused)
			}
			cancel()
			time.Sleep(10 * time.Millisecond)
			if !next.isUsable() {
				t.Error("the end of the earlier request has closed the connection")
			}
		})
	}
}
