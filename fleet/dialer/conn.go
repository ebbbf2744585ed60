package dialer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrReset means that a connection ended without an end of what its peer was sending.
var ErrReset = errors.New("dialer: the connection was reset")

// Conn is a connection whose reader also learns of a reset that its writer has met. The system reports a reset once, to whichever uses the
// connection first; who uses it then finds a plain end, as if the peer had sent all that it had to. It has one reader at a time.
type Conn struct {
	net.Conn

	// readErr is why reading failed, nil if it did not or may go on. A reader that looks ahead may pass over it once.
	readErr error
	// writing is held while bytes are written.
	writing sync.Mutex
	// writeErr is why the first write that failed did. writing must be held.
	writeErr error
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}

	return n, err
}

// Read implements io.Reader. It returns io.EOF only if the peer has ended what it sent. Where the writer has met the reset, the error matches
// ErrReset; one that the reader meets is returned as it is. Nothing can be written after an end, and a failure is that of all later reads.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}

	return n, err
}

// endError returns what the end of the connection means.
func (c *Conn) endError() error {
	// Ends a write that waits for the peer. One that has met the reset returns it.
	_ = c.SetWriteDeadline(time.Unix(0, 1))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || isAfterEnd(c.writeErr) {
		return io.EOF
	}

	return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
}

// isAfterEnd reports whether a write failed because the connection was reset after the peer had ended what it sent. A reset without such an end
// is ECONNRESET.
func isAfterEnd(err error) bool {
	return errors.Is(err, syscall.EPIPE)
}
