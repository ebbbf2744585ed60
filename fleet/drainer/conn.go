package drainer

import (
	"errors"
	"net"
	"os"
	"sync"

	"cardamompulley/fleet/timekeeper"
)

// Conn is a tracked connection. Its server calls SetWaiting each time it begins to wait for the next request.
type Conn struct {
	net.Conn

	tracker *Tracker

	mu sync.Mutex
	// requests is the number of requests that have been answered.
	requests int
	// unansweredBytes is the number of bytes read since the last request was answered.
	unansweredBytes int
	lastReadAt      timekeeper.Millis
	waitingSince    timekeeper.Millis
	// hasResponded is true once the response to the current request has begun; what is read after that is the rest of its body.
	hasResponded bool
	// isPeerGone is true once the peer has closed or reset the connection.
	isPeerGone bool
	isClosed   bool
}

// Closed is the final state of a connection that the server has closed.
type Closed struct {
	RemoteAddr string
	// WasWaiting is true if the server closed the connection while it waited for a request.
	WasWaiting bool
	// Requests is the number of requests that were answered.
	Requests int
	// UnansweredBytes is the number of bytes that were read after the last answered request and got no response. It is 0 if
	// the peer closed the connection first.
	UnansweredBytes int
	// SinceRead is the time since the last byte was read, or since the connection was accepted.
	SinceRead timekeeper.Millis
	// SinceWaiting is the time since the last request was answered, or since the connection was accepted.
	SinceWaiting timekeeper.Millis
}

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unansweredBytes += n
		c.lastReadAt = c.tracker.clock.Now()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.isPeerGone = true
	}

	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.hasResponded = true
	c.mu.Unlock()

	return c.Conn.Write(b)
}

// CloseWrite closes the write side, if the connection has two sides.
func (c *Conn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}

	return halfCloser.CloseWrite()
}

// SetWaiting records that the last request has been answered and the server waits for the next one.
func (c *Conn) SetWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.unansweredBytes = 0
	c.hasResponded = false
	c.waitingSince = c.tracker.clock.Now()
}

// Close closes the connection and reports its final state to the tracker.
func (c *Conn) Close() error {
	closed, isFirst := c.finalState()
	err := c.Conn.Close()
	if isFirst {
		c.tracker.remove(c)
		c.tracker.OnClosed(closed)
	}

	return err
}

// finalState returns the state of a connection that is being closed, and whether it is closed for the first time.
func (c *Conn) finalState() (closed Closed, isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return Closed{}, false
	}
	c.isClosed = true
	now := c.tracker.clock.Now()
	closed = Closed{
		RemoteAddr:   c.RemoteAddr().String(),
		WasWaiting:   c.unansweredBytes == 0 && !c.isPeerGone,
		Requests:     c.requests,
		SinceRead:    now - c.lastReadAt,
		SinceWaiting: now - c.waitingSince,
	}
	if !c.hasResponded && !c.isPeerGone {
		closed.UnansweredBytes = c.unansweredBytes
	}

	return closed, true
}
