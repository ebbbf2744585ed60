package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// firstPatience is how long an ending server waits for the first request of a connection, one of whose packets may have
	// been lost and sent again.
	firstPatience = 500 * timekeeper.Millis(1)
	// endPoll is how often an ending server looks for such connections.
	endPoll = 20 * timekeeper.Millis(1)
)

// limitedServer serves the connections that were accepted under one set of limits.
type limitedServer struct {
	server *http.Server
	limits cataloguer.Limits
	conns  *connListener

	mu sync.Mutex
	// fresh are the connections whose first request has not come, and when they were accepted.
	fresh map[net.Conn]time.Time
}

func openLimitedServer(handler http.Handler, limits cataloguer.Limits, address net.Addr) *limitedServer {
	n := &limitedServer{limits: limits, conns: newConnListener(address), fresh: map[net.Conn]time.Time{}}
	n.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         n.note,
	}
	// Serve returns only once the server is shut down.
	go func() { _ = n.server.Serve(n.conns) }()

	return n
}

func (n *limitedServer) note(conn net.Conn, s http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == http.StateNew {
		n.fresh[conn] = time.Now()
	} else {
		delete(n.fresh, conn)
	}
}

// end closes idle connections and waits for running requests. Connections that have just been accepted are awaited before:
// a server that is shut down closes them when their first request comes, without an answer.
func (n *limitedServer) end(ctx context.Context) error {
	for n.awaitsFirst() && timekeeper.Sleep(ctx, endPoll) {
	}
	n.closeFresh()

	return n.server.Shutdown(ctx)
}

// closeFresh closes the connections whose first request has not come, so that their callers hear of it at once.
func (n *limitedServer) closeFresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.fresh {
		// The caller may have closed it already.
		_ = conn.Close()
	}
}

// awaitsFirst tells whether the first request of a connection may be on its way.
func (n *limitedServer) awaitsFirst() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, accepted := range n.fresh {
		if time.Since(accepted) < firstPatience.Duration() {
			return true
		}
	}

	return false
}
