package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/timekeeper"
)

// stallListener closes the connections of callers that stop reading. It limits the time of each write, not of the whole
// response, so that long streams are not cut.
type stallListener struct {
	*drainer.Listener
	writeTimeout timekeeper.Millis
}

// Accept returns the next connection, with the write timeout applied to it.
func (l stallListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTracked()
	if err != nil {
		return nil, err
	}

	return &stallConn{Conn: conn, writeTimeout: l.writeTimeout}, nil
}

type stallConn struct {
	*drainer.Conn
	writeTimeout timekeeper.Millis
	// hasResponded is true once a request has been answered. Only the goroutine that serves the connection uses it.
	hasResponded bool
}

// reportConnState tells a tracked connection when a request begins and when it has been answered.
func reportConnState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*stallConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		// The framework reports the first request before it reads from the connection; the read reports that one.
		if c.hasResponded {
			c.SetActive()
		}
	case fasthttp.StateIdle:
		c.hasResponded = true
		c.SetWaiting()
	default:
	}
}

// Read reads from the connection. A connection that has expired without a request ends as if the caller had closed it, since the
// framework responds to a timeout.
func (c *stallConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.HasExpired() {
		return n, io.EOF
	}

	return n, err
}

// Write writes b. It fails if the connection does not accept all of b within the write timeout.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout.Duration())); err != nil {
		return 0, fmt.Errorf("server: write deadline: %w", err)
	}

	return c.Conn.Write(b)
}

// lingerTimeout and maxLingerBytes limit what is read from a caller that still sends its request after the response.
const (
	lingerTimeout  = timekeeper.Second
	maxLingerBytes = 64 << 20
)

// Close closes the write side, then reads and discards what the caller still sends before closing the connection. Closing
// with unread bytes would make the kernel reset the connection, and the caller could lose the response. A connection that has
// expired without a request owes no response and is closed at once.
func (c *stallConn) Close() error {
	if c.HasExpired() || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		_ = c.Conn.Close()
	}()

	return nil
}
