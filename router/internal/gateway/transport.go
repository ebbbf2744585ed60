package gateway

import (
	"net/http"

	"cardamompulley/fleet/counter"
	"cardamompulley/fleet/dialer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// peerAckTimeout is how long a gateway may leave sent data unacknowledged. The connection is closed then, so that the
	// next exchange opens a new one.
	peerAckTimeout = timekeeper.Second
	// peerIdleTimeout is how long an unused connection to a gateway is kept.
	peerIdleTimeout = timekeeper.Minute
)

// newPeerTransport returns an HTTP/2 transport to other gateways: header compression keeps small messages small. Its traffic
// is added to the counter.
func newPeerTransport(c *counter.Counter) *http.Transport {
	d := dialer.NewDialer(gossipTimeout, peerAckTimeout)
	// Exchanges are frequent enough to detect a dead connection; keep-alive probes would cost more traffic than they do.
	d.KeepAliveConfig.Enable = false
	d.KeepAlive = -1
	t := &http.Transport{
		DialContext:            c.DialFunc(d),
		IdleConnTimeout:        peerIdleTimeout.Duration(),
		MaxResponseHeaderBytes: maxPeerHeadBytes,
		Protocols:              &http.Protocols{},
	}
	t.Protocols.SetUnencryptedHTTP2(true)

	return t
}

// newPeerServer returns a server for the gossip exchanges that other gateways start, over HTTP/1.1 or unencrypted HTTP/2.
func newPeerServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration(), Protocols: &http.Protocols{}}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)

	return s
}
