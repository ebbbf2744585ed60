package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// firstRequestTimeout is how long after accepting a connection a server that shuts down waits for the first request; it
	// leaves time for one retransmission of a lost packet.
	firstRequestTimeout = 500 * timekeeper.Millis(1)
	// shutdownPollInterval is how often a server that shuts down checks whether such connections remain.
	shutdownPollInterval = 20 * timekeeper.Millis(1)
)

// limitedServer serves the connections that were accepted while one set of limits was in force.
type limitedServer struct {
	server *http.Server
	limits cataloguer.Limits
	conns  *connListener

	mu sync.Mutex
	// awaitingFirst maps connections that have not sent a request yet to the time they were accepted.
	awaitingFirst map[net.Conn]time.Time
}

func startLimitedServer(handler http.Handler, limits cataloguer.Limits, address net.Addr) *limitedServer {
	s := &limitedServer{limits: limits, conns: newConnListener(address), awaitingFirst: map[net.Conn]time.Time{}}
	s.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         s.trackConnState,
	}
	// Serve always returns an error, and does so only after Shutdown.
	go func() { _ = s.server.Serve(s.conns) }()

	return s
}

func (s *limitedServer) trackConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tracked, ok := conn.(*drainer.Conn); ok && state == http.StateIdle {
		tracked.SetWaiting()
	}
	if state == http.StateNew {
		s.awaitingFirst[conn] = time.Now()
	} else {
		delete(s.awaitingFirst, conn)
	}
}

// shutdown closes idle connections and waits for running requests until the context ends. Before that it gives new
// connections time to send their first request: once http.Server.Shutdown has been called, the server closes such a
// connection without a response when the request arrives.
func (s *limitedServer) shutdown(ctx context.Context) error {
	for s.expectsFirstRequest() && timekeeper.Sleep(ctx, shutdownPollInterval) {
	}
	s.closeAwaitingFirst()

	return s.server.Shutdown(ctx)
}

// closeAwaitingFirst closes the connections that have not sent a request, to let their callers reconnect elsewhere at once.
func (s *limitedServer) closeAwaitingFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.awaitingFirst {
		// The caller may have closed the connection already.
		_ = conn.Close()
	}
}

// expectsFirstRequest reports whether a connection was accepted so recently that its first request may still arrive.
func (s *limitedServer) expectsFirstRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, acceptedAt := range s.awaitingFirst {
		if time.Since(acceptedAt) < firstRequestTimeout.Duration() {
			return true
		}
	}

	return false
}
