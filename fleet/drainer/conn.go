package drainer

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// interimPrefix begins an interim response, such as 100 Continue; the response itself follows.
var interimPrefix = []byte("HTTP/1.1 1")

// Conn is a tracked connection. Its server reports with SetActive and SetWaiting when a request begins and when it has been
// answered.
type Conn struct {
	net.Conn

	tracker *Tracker
	// number counts the connections of the tracker in the order in which they were accepted.
	number int64

	mu sync.Mutex
	// isWaiting is true from the end of a response until a byte of the next request is read. Bytes of that request may have been
	// read together with the one before.
	isWaiting bool
	// isExpired is true while reads return only what has arrived already.
	isExpired bool
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
	requests     int
	// unansweredBytes is the number of bytes read since the last request was answered.
	unansweredBytes int
	lastReadAt      timekeeper.Millis
	waitingSince    timekeeper.Millis
	// hasResponded is true once the response to the current request has begun; what is read after that is the rest of its body.
	hasResponded bool
	// readsOn is true if bytes have been read since the response to the current request began.
	readsOn bool
	// wroteLate is true if the last write came after the tracker's CloseAfterResponse.
	wroteLate bool
	// isRefused is true once the server has written to the connection after its reads had expired.
	isRefused bool
	// isPeerGone is true once the peer has closed or reset the connection.
	isPeerGone bool
	isClosed   bool
}

func newConn(conn net.Conn, t *Tracker) *Conn {
	now := t.clock.Now()

	return &Conn{Conn: conn, tracker: t, isWaiting: true, lastReadAt: now, waitingSince: now}
}

// Read reads from the connection. Once its reads have expired it returns os.ErrDeadlineExceeded, unless the next request has
// arrived.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.HasExpired() {
		n, err = c.readArrived(b)
	}
	c.recordRead(n, err)

	return n, err
}

func (c *Conn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unansweredBytes += n
		c.lastReadAt = c.tracker.clock.Now()
		c.readsOn = c.hasResponded
		c.setActive()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.isPeerGone = true
	}
}

// Write writes to the connection. It returns net.ErrClosed once reads have expired: the server writes then only if it cannot parse
// what it has read, which may be the beginning of a request. A caller may repeat a request whose connection closes, but not one
// that was answered with status 400.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.beginResponse(!bytes.HasPrefix(b, interimPrefix)) {
		return 0, net.ErrClosed
	}

	return c.Conn.Write(b)
}

// beginResponse records that a response begins if isFinal, and reports whether it may.
func (c *Conn) beginResponse(isFinal bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isExpired {
		c.isRefused = true

		return false
	}
	c.hasResponded = c.hasResponded || isFinal
	c.wroteLate = c.tracker.closesAfterResponse.Load()

	return true
}

// SetReadDeadline sets the deadline of reads. If they have expired, it takes effect once a request has been read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.isExpired {
		return nil
	}

	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the write side, if the connection has two sides.
func (c *Conn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}

	return halfCloser.CloseWrite()
}

// isAnswered reports whether the connection stays open only because the rest of a body arrives, whose request has been answered.
func (c *Conn) isAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.readsOn
}

// SetActive records that the server has read the head of a request.
func (c *Conn) SetActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setActive()
}

// setActive also ends the expiry of reads, since the request may have a body. c.mu must be held.
func (c *Conn) setActive() {
	c.isWaiting = false
	if c.isExpired {
		c.isExpired = false
		// If the connection has been closed, the next read reports it.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetWaiting records that the last request has been answered and the server waits for the next one.
func (c *Conn) SetWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.isWaiting = true
	c.unansweredBytes = 0
	c.hasResponded, c.readsOn = false, false
	c.waitingSince = c.tracker.clock.Now()
	if c.wroteLate {
		c.expire()
	}
}
