package gateway

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/timekeeper"
)

// targetMemory is the memory that a gateway may take.
const targetMemory = 256 << 20

// totalAllocated returns how many bytes have been allocated since the start of the process.
func totalAllocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.TotalAlloc
}

// sendEndless writes as much as a gateway may hold, until the connection is closed.
func sendEndless(w io.Writer) {
	chunk := []byte(strings.Repeat("\x00", 64<<10))
	for sent := 0; sent < targetMemory; sent += len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// Guards against an answer without end, of what listens at the address of another gateway, that takes all the memory of this one.
func TestAnswerOfGatewayWithoutEndTakesBoundedMemory(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"message", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			sendEndless(w)
		}},
		{"error", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusInternalServerError)
			sendEndless(w)
		}},
		{"head", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("a", 8<<20))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := newPeerServer(tt.answer)
			defer func() { _ = server.Close() }()
			go func() { _ = server.Serve(l) }()
			g := NewGateway(NewSettings(), timekeeper.NewSystemClock(), logger.NewDiscard())
			before := totalAllocated()
			if _, err := g.peers.clientFor(l.Addr().String()).Trade(t.Context(), &messenger.TradeRequest{}); err == nil {
				t.Error("no error")
			}
			if n := totalAllocated() - before; n > targetMemory/4 {
				t.Errorf("%d MB were allocated for one answer", n>>20)
			}
		})
	}
	t.Run("bytes that are no answer", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			conn, err := l.Accept()
			if err == nil {
				sendEndless(conn)
				_ = conn.Close()
			}
		}()
		g := NewGateway(NewSettings(), timekeeper.NewSystemClock(), logger.NewDiscard())
		before := totalAllocated()
		if _, err := g.peers.clientFor(l.Addr().String()).Trade(t.Context(), &messenger.TradeRequest{}); err == nil {
			t.Error("no error")
		}
		if n := totalAllocated() - before; n > targetMemory/4 {
			t.Errorf("%d MB were allocated for one answer", n>>20)
		}
	})
}
