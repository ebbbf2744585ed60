package connector

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
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

func TestCheckAliveFindsCrashDespiteLostPacketAndEarlyClose(t *testing.T) {
	accepted := func() (net.Conn, error) {
		ours, theirs := net.Pipe()
		_ = theirs.Close()

		return ours, nil
	}
	lost := func() (net.Conn, error) { return nil, os.ErrDeadlineExceeded }
	refused := func() (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	cases := []struct {
		name      string
		dials     []func() (net.Conn, error)
		isRefused bool
	}{
		{"refused", []func() (net.Conn, error){refused}, true},
		{"the first packet is lost", []func() (net.Conn, error){lost, refused}, true},
		{"accepted and closed", []func() (net.Conn, error){accepted, refused}, true},
		{"accepted and closed twice", []func() (net.Conn, error){accepted, accepted}, false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			p := NewPool(Timeouts{DialTimeout: timekeeper.Second, AckTimeout: timekeeper.Minute}, timekeeper.NewSystemClock())
			dials := 0
			p.dialContext = func(context.Context, string, string) (net.Conn, error) {
				dials++
				conn, err := x.dials[dials-1]()
				if err != nil {
					return nil, err
				}

				return closedConn{conn}, nil
			}
			if err := p.CheckAlive(t.Context(), "e", ""); errors.Is(err, syscall.ECONNREFUSED) != x.isRefused {
				t.Errorf("error %v, want a refusal: %v", err, x.isRefused)
			}
		})
	}
}

// closedConn is a connection that its other side has closed.
type closedConn struct{ net.Conn }

// SyscallConn fails, as on a closed socket.
func (closedConn) SyscallConn() (syscall.RawConn, error) { return nil, net.ErrClosed }
