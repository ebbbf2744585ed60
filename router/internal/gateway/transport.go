package gateway

import (
	"net/http"

	"cardamompulley/fleet/counter"
	"cardamompulley/fleet/dialer"
	"cardamompulley/fleet/timekeeper"
)

const (
	// peerSilence ends a connection to a gateway that acknowledges nothing, so that the next trade opens a new one.
	peerSilence = timekeeper.Second
	// peerIdle is how long a connection to a gateway is kept unused.
	peerIdle = timekeeper.Minute
)

// newPeerTransport returns a transport to other gateways over HTTP/2, whose packed headers keep small trades small.
func newPeerTransport(c *counter.Counter) *http.Transport {
	d := dialer.NewDialer(tradeTimeout, peerSilence)
	// Trades come often enough to find out about a silent connection; probes would cost more than they do.
	d.KeepAliveConfig.Enable = false
	d.KeepAlive = -1
	t := &http.Transport{
		DialContext:     c.DialFunc(d),
		IdleConnTimeout: peerIdle.Duration(),
		Protocols:       &http.Protocols{},
	}
	t.Protocols.SetUnencryptedHTTP2(true)

	return t
}

// newPeerServer returns a server for the trades of other gateways.
func newPeerServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: pageTimeout.Duration(), Protocols: &http.Protocols{}}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)

	return s
}
