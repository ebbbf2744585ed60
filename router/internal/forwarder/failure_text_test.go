package forwarder

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cardamompulley/fleet/logger"
)

// Guards against the bytes and the address of an endpoint in what its caller is told. The log has what the endpoint sent.
func TestCallerIsNotToldWhatEndpointSent(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	answers := map[string]string{
		"no answer":      "secret-7\r\n\r\n",
		"status":         "HTTP/1.1 secret-7 OK\r\n\r\n",
		"version":        "HTTP/secret-7 200 OK\r\n\r\n",
		"field":          "HTTP/1.1 200 OK\r\nsecret-7\r\n\r\n",
		"name":           "HTTP/1.1 200 OK\r\nsecret-7(: v\r\n\r\n",
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: secret-7\r\n\r\n",
		"coding":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: secret-7\r\n\r\n",
		"trailing field": chunked + "2\r\nok\r\n0\r\nsecret-7\r\n\r\n",
		"cut body":       "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 20\r\n\r\nok",
		"stream":         streamHead + "secret-7\r\n",
		"nothing":        "",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			checkFailureText(t, listenWithAnswers(t, true, answer), strings.Contains(answer, "secret-7(") || name == "no answer")
		})
	}
	t.Run("no connection", func(t *testing.T) {
		l := listen(t)
		_ = l.Close()
		checkFailureText(t, l.Addr().String(), false)
	})
}

// checkFailureText checks what the caller and the log are told of a request to an endpoint that fails it.
func checkFailureText(t *testing.T, address string, isLogged bool) {
	t.Helper()
	var log bytes.Buffer
	f := newTestForwarder(address)
	f.log = logger.NewLogger(&log, "gateway")
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", "a")
	f.ServeHTTP(w, r)
	if w.Code < http.StatusInternalServerError {
		t.Errorf("status %d, want a failure", w.Code)
	}
	for _, s := range []string{"secret", "127.0.0.1"} {
		if strings.Contains(w.Body.String(), s) {
			t.Errorf("the caller is told %q", w.Body)
		}
	}
	if isLogged && !strings.Contains(log.String(), "secret") {
		t.Errorf("the log does not tell what the endpoint sent: %s", log.String())
	}
}
