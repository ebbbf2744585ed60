package drainer

import "cardamompulley/fleet/timekeeper"

// Closed is the final state of a connection that the server has closed.
type Closed struct {
	RemoteAddr string
	// WasWaiting is true if the server closed the connection while it waited for a request.
	WasWaiting bool
	// WasDropped is true if a request, or a part of one, was read and the server closed the connection without a response.
	WasDropped bool
	// Requests is the number of requests that were answered.
	Requests int
	// UnansweredBytes is the number of bytes that were read after the last answered request.
	UnansweredBytes int
	// SinceRead is the time since the last byte was read, or since the connection was accepted.
	SinceRead timekeeper.Millis
	// SinceWaiting is the time since the last request was answered, or since the connection was accepted.
	SinceWaiting timekeeper.Millis
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

	return Closed{
		RemoteAddr:      c.RemoteAddr().String(),
		WasWaiting:      c.isWaiting && !c.isRefused && !c.isPeerGone,
		WasDropped:      (!c.isWaiting && !c.hasResponded || c.isRefused) && !c.isPeerGone,
		Requests:        c.requests,
		UnansweredBytes: c.unansweredBytes,
		SinceRead:       now - c.lastReadAt,
		SinceWaiting:    now - c.waitingSince,
	}, true
}
