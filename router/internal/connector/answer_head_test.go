package connector

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// resettingConn is a connection that takes all that is written; reading it returns what came and then a reset, which is reported once.
type resettingConn struct {
	net.Conn
	came    string
	isReset bool
}

func (c *resettingConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *resettingConn) Read(p []byte) (int, error) {
	if c.came != "" {
		n := copy(p, c.came)
		c.came = c.came[n:]

		return n, nil
	}
	if !c.isReset {
		c.isReset = true

		return 0, syscall.ECONNRESET
	}

	return 0, io.EOF
}

func (c *resettingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a log that tells of an early end where an endpoint has reset the connection.
func TestResetBeforeEndOfHeadIsTold(t *testing.T) {
	for _, came := range []string{"", "H", "HTTP/1.0", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n"} {
		c := newConn("e", &resettingConn{came: came})
		response, err := c.Send(&Request{Method: http.MethodGet, RequestURI: "/", Host: "a", Header: http.Header{}})
		if err == nil {
			_ = response.Body.Close()
		}
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("after %q: %v, want a reset", came, err)
		}
	}
}
