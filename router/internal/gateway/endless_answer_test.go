package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/scripter"
	"cardamompulley/fleet/timekeeper"
)

// targetMemory is the memory that a gateway may take.
const targetMemory = 256 << 20

// Guards against an answer without end, of what listens at the address of another gateway, that takes all the memory of this one.
func TestAnswerOfGatewayWithoutEndTakesBoundedMemory(t *testing.T) {
	tests := []struct {
		name   string
		limit  uint64
		answer http.HandlerFunc
	}{
		{"message", targetMemory / 4, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			scripter.SendEndless(w, "", "\x00", targetMemory)
		}},
		{"error", targetMemory / 4, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusInternalServerError)
			scripter.SendEndless(w, "", "\x00", targetMemory)
		}},
		// The head of the stand-in counts, too.
		{"head", targetMemory / 8, func(w http.ResponseWriter, _ *http.Request) {
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
			checkTrade(t, l.Addr().String(), tt.limit)
		})
	}
	t.Run("bytes that are no answer", func(t *testing.T) {
		checkTrade(t, scripter.Serve(t, func(conn *net.TCPConn) { scripter.SendEndless(conn, "", "\x00", targetMemory) }), targetMemory/8)
	})
}

// checkTrade checks that an exchange with what listens at an address fails, and that the heap grows by limit bytes at the most.
func checkTrade(t *testing.T, address string, limit uint64) {
	t.Helper()
	g := NewGateway(NewSettings(), timekeeper.NewSystemClock(), logger.NewDiscard())
	scripter.CheckHeap(t, limit, func() {
		if _, err := g.peers.clientFor(address).Trade(t.Context(), &messenger.TradeRequest{}); err == nil {
			t.Error("no error")
		}
	})
}
