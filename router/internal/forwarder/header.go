package forwarder

import (
	"net/http"
	"strings"
)

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// outgoing returns the headers of a request or an answer that go on to the next hop.
func outgoing(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}

	return out
}
