package connector

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// endlessBytes is how much an endpoint sends that would go on, many times what a head may take.
const endlessBytes = 64 * maxHeadBytes

// readCounter counts the bytes that are read from a connection. What its sender has written says less: the kernel buffers megabytes.
type readCounter struct {
	net.Conn
	read atomic.Int64
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))

	return n, err
}

// sendEndless listens for one connection, and sends start and then more of repeated until it is closed. It returns the
// connection that reads them.
func sendEndless(t *testing.T, start, repeated string) *readCounter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, start)
		chunk := strings.Repeat(repeated, 1+4096/len(repeated))
		for sent := 0; sent < endlessBytes; sent += len(chunk) {
			if _, err := io.WriteString(conn, chunk); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })

	return &readCounter{Conn: conn}
}

// Guards against an answer whose head takes all the memory of the gateway.
func TestHeadWithoutEndEndsAtItsBound(t *testing.T) {
	tests := []struct{ name, start, repeated string }{
		{"bytes that are no answer", "", "\x00"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "b"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"empty lines", "", "\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			netConn := sendEndless(t, tt.start, tt.repeated)
			c := newConn("e", netConn)
			response, err := c.Send(&Request{Method: http.MethodGet, RequestURI: "/", Host: "a", Header: http.Header{}})
			if err == nil {
				_ = response.Body.Close()
				t.Fatal("the head was taken for an answer")
			}
			if n := netConn.read.Load(); n > maxHeadBytes {
				t.Errorf("%d bytes were read, want %d at most", n, maxHeadBytes)
			}
			if tt.name != "empty lines" && tt.name != "continued header line" && !errors.Is(err, ErrHeadTooLong) {
				t.Errorf("error %v, want %v", err, ErrHeadTooLong)
			}
		})
	}
}

func TestBodyAfterLongHeadIsReadToItsEnd(t *testing.T) {
	const length = 4 * maxHeadBytes
	netConn := sendEndless(t, "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\nA: "+strings.Repeat("b", maxHeadBytes/2)+"\r\n\r\n", "0")
	c := newConn("e", netConn)
	response, err := c.Send(&Request{Method: http.MethodGet, RequestURI: "/", Host: "a", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != length {
		t.Errorf("%d bytes, %v", n, err)
	}
}
