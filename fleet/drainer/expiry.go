package drainer

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// pastDeadline makes a read that is waiting return at once.
var pastDeadline = time.Unix(1, 0)

// expireIfWaiting expires the reads of a connection that has waited for a request for longer than w allows.
func (c *Conn) expireIfWaiting(w Waits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWaiting || c.isExpired {
		return
	}
	wait := w.Next
	if c.requests == 0 {
		wait = w.First
	}
	if c.tracker.clock.Now()-c.waitingSince < wait {
		return
	}
	c.expire()
}

// expire makes the reads of a waiting connection return only what has arrived already. c.mu must be held.
func (c *Conn) expire() {
	c.isExpired = true
	// If the connection has been closed, its reader has already been woken.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// HasExpired reports whether reads return only what has arrived already.
func (c *Conn) HasExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.isExpired
}

// readArrived reads what has arrived already, without waiting for more. An ordinary read returns nothing once its deadline has
// passed, even if a request has arrived before.
func (c *Conn) readArrived(b []byte) (int, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	// If the connection has been closed, raw.Read reports it.
	defer func() { _ = c.Conn.SetReadDeadline(pastDeadline) }()
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = readWithoutWaiting(int(fd), b)

		return true
	})
	if err != nil {
		return 0, err
	}

	return n, readErr
}

// readWithoutWaiting reads from a non-blocking file descriptor. It returns os.ErrDeadlineExceeded if nothing has arrived and
// io.EOF if the peer has closed its side.
func readWithoutWaiting(fd int, b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for {
		n, err := syscall.Read(fd, b)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
