package server

import (
	"fmt"
	"io"
	"net"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// stallListener cuts off callers that read nothing for a while, however long their answers are.
type stallListener struct {
	net.Listener
	stall timekeeper.Millis
}

// Accept wraps the next connection.
func (l stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &stallConn{Conn: conn, stall: l.stall}, nil
}

type stallConn struct {
	net.Conn
	stall timekeeper.Millis
}

// Write fails when the caller takes no byte within the stall time.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall.Duration())); err != nil {
		return 0, fmt.Errorf("server: write deadline: %w", err)
	}

	return c.Conn.Write(b)
}

const (
	lingerTime  = timekeeper.Second
	lingerBytes = 64 << 20
)

// Close lets a caller that is still sending read the answer first: unread bytes would make the kernel reset the connection.
func (c *stallConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		_ = c.Conn.Close()
	}()

	return nil
}
