package drainer_test

import (
	"io"
	"net"
	"testing"

	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/timekeeper"
)

func TestClosedConnReportsUnansweredRequest(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	tests := []struct {
		name string
		use  func(c *drainer.Conn, clock *timekeeper.ManualClock)
		want drainer.Closed
	}{
		{"waits for the first request", func(*drainer.Conn, *timekeeper.ManualClock) {},
			drainer.Closed{WasWaiting: true, SinceRead: 300, SinceWaiting: 300}},
		{"has read a request", func(c *drainer.Conn, clock *timekeeper.ManualClock) { readRequest(c); clock.Advance(200) },
			drainer.Closed{WasDropped: true, UnansweredBytes: len(request), SinceRead: 200, SinceWaiting: 500}},
		{"has sent an interim response", func(c *drainer.Conn, _ *timekeeper.ManualClock) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}, drainer.Closed{WasDropped: true, UnansweredBytes: len(request), SinceWaiting: 300}},
		{"responds", func(c *drainer.Conn, _ *timekeeper.ManualClock) { readRequest(c); respond(c) },
			drainer.Closed{UnansweredBytes: len(request), SinceWaiting: 300}},
		{"waits for the second request", func(c *drainer.Conn, clock *timekeeper.ManualClock) {
			readRequest(c)
			respond(c)
			c.SetWaiting()
			clock.Advance(100)
		}, drainer.Closed{WasWaiting: true, Requests: 1, SinceRead: 100, SinceWaiting: 100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timekeeper.NewManualClock(0)
			tracker := drainer.NewTracker(clock.Clock())
			var got []drainer.Closed
			tracker.OnClosed = func(c drainer.Closed) { got = append(got, c) }
			server, peer := net.Pipe()
			conn := tracker.Track(server)
			go func() {
				_, _ = io.WriteString(peer, request)
				_, _ = io.Copy(io.Discard, peer)
			}()
			clock.Advance(300)
			tt.use(conn, clock)
			_ = conn.Close()
			_ = conn.Close()
			tt.want.RemoteAddr = "pipe"
			if len(got) != 1 || got[0] != tt.want {
				t.Errorf("closed %+v, want once %+v", got, tt.want)
			}
			if n := tracker.Len(); n != 0 {
				t.Errorf("%d connections remain", n)
			}
		})
	}
}

func readRequest(c *drainer.Conn) {
	_, _ = c.Read(make([]byte, 100))
}

func respond(c *drainer.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
}

func TestCloseAfterResponseSparesConnWhoseResponseWasSent(t *testing.T) {
	tests := []struct {
		name        string
		use         func(*drainer.Tracker, *drainer.Conn)
		wantExpired bool
	}{
		{"sent before", func(tr *drainer.Tracker, c *drainer.Conn) { respond(c); tr.CloseAfterResponse() }, false},
		{"sent after", func(tr *drainer.Tracker, c *drainer.Conn) { tr.CloseAfterResponse(); respond(c) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := drainer.NewTracker(timekeeper.NewSystemClock())
			server, peer := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, peer) }()
			conn := tracker.Track(server)
			defer func() { _ = conn.Close() }()
			tt.use(tracker, conn)
			conn.SetWaiting()
			if got := conn.HasExpired(); got != tt.wantExpired {
				t.Errorf("expired %v, want %v", got, tt.wantExpired)
			}
		})
	}
}
