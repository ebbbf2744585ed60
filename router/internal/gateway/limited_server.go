package gateway

import (
	"net"
	"net/http"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/timekeeper"
)

// limitedServer serves the connections that were accepted while one set of limits was in force.
type limitedServer struct {
	server   *http.Server
	limits   cataloguer.Limits
	listener *connListener
}

// startLimitedServer starts a server whose callers may reuse an idle connection for at most keepAlive.
func startLimitedServer(
	handler http.Handler, limits cataloguer.Limits, keepAlive timekeeper.Millis, address net.Addr,
) *limitedServer {
	s := &limitedServer{limits: limits, listener: newConnListener(address)}
	s.server = &http.Server{
		Handler:           announceKeepAlive(handler, keepAliveWithin(limits.IdleTimeout, keepAlive)),
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         reportConnState,
	}
	// Serve always returns an error, and does so only after Close.
	go func() { _ = s.server.Serve(s.listener) }()

	return s
}

// reportConnState tells a tracked connection when a request begins and when it has been answered.
func reportConnState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*drainer.Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.SetActive()
	case http.StateIdle:
		tracked.SetWaiting()
	default:
	}
}
