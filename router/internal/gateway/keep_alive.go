package gateway

import (
	"fmt"
	"net/http"

	"cardamompulley/fleet/timekeeper"
)

const (
	// maxDrainDelay is how long a gateway that shuts down still serves new connections, until the platform's balancer has
	// noticed that it is not ready and callers have stopped to reuse their idle connections.
	maxDrainDelay = 2300 * timekeeper.Millis(1)
	// closeMargin is how long after its last moment of reuse an idle connection stays open, for a request on its way.
	closeMargin = 300 * timekeeper.Millis(1)
)

// drainDelay returns how long this gateway still serves new connections when it shuts down.
func (s Settings) drainDelay() timekeeper.Millis {
	return min(maxDrainDelay, s.ShutdownGrace/2)
}

// keepAliveTimeout returns how long callers may reuse an idle connection, so that a shutdown closes none that they
// still use.
func (s Settings) keepAliveTimeout() timekeeper.Millis {
	return s.drainDelay() - closeMargin
}

// keepAliveWithin returns a timeout that ends before the server closes an idle connection; an idleTimeout of 0 is none.
func keepAliveWithin(idleTimeout, timeout timekeeper.Millis) timekeeper.Millis {
	if idleTimeout <= 0 {
		return timeout
	}

	return min(timeout, idleTimeout-closeMargin)
}

// announceKeepAlive adds the Keep-Alive timeout, in whole seconds, to the responses of a handler, unless the caller has asked for
// the connection to close. A timeout under a second cannot be announced.
func announceKeepAlive(h http.Handler, timeout timekeeper.Millis) http.Handler {
	if timeout < timekeeper.Second {
		return h
	}
	value := fmt.Sprintf("timeout=%d", timeout/timekeeper.Second)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.Close {
			w.Header().Set("Connection", "keep-alive")
			w.Header().Set("Keep-Alive", value)
		}
		h.ServeHTTP(w, r)
	})
}
