package server

import (
	"fmt"
	"io"
	"net"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// stallListener closes the connections of callers that stop reading. It limits the time of each write, not of the whole
// response, so that long streams are not cut.
type stallListener struct {
	net.Listener
	writeTimeout timekeeper.Millis
}

// Accept returns the next connection, with the write timeout applied to it.
func (l stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &stallConn{Conn: conn, writeTimeout: l.writeTimeout}, nil
}

type stallConn struct {
	net.Conn
	writeTimeout timekeeper.Millis
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
// with unread bytes would make the kernel reset the connection, and the caller could lose the response.
func (c *stallConn) Close() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		_ = c.Conn.Close()
	}()

	return nil
}
