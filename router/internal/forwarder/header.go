package forwarder

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns the headers of a request or a response that are forwarded: all but the hop-by-hop ones and those
// named in Connection.
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}

	return forwarded
}
