package dialer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// brokenConn is a connection whose writes wait and fail, and whose reader finds a plain end.
type brokenConn struct {
	net.Conn
	// isWriting is closed once a write has begun, mayReturn once it may fail.
	isWriting, mayReturn chan struct{}
	writeErr             error
}

func (c *brokenConn) Write([]byte) (int, error) {
	close(c.isWriting)
	<-c.mayReturn

	return 0, c.writeErr
}

func (c *brokenConn) Read([]byte) (int, error) { return 0, io.EOF }

// SetWriteDeadline ends the write, as the deadline of a real connection does.
func (c *brokenConn) SetWriteDeadline(time.Time) error {
	close(c.mayReturn)

	return nil
}

// Guards against a reset that only the writer learns of, so that the reader takes what it has for all.
func TestReaderLearnsOfResetThatWriterMet(t *testing.T) {
	tests := []struct {
		name     string
		writeErr error
		isReset  bool
	}{
		{"reset", os.NewSyscallError("write", syscall.ECONNRESET), true},
		{"no acknowledgement", os.NewSyscallError("write", syscall.ETIMEDOUT), true},
		{"the peer has ended what it sends and reads no more", os.NewSyscallError("write", syscall.EPIPE), false},
		{"the write waits for a peer that has ended what it sends", os.ErrDeadlineExceeded, false},
		{"all is written", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewConn(&brokenConn{isWriting: make(chan struct{}), mayReturn: make(chan struct{}), writeErr: tt.writeErr})
			written := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("u"))
				written <- err
			}()
			<-c.Conn.(*brokenConn).isWriting
			_, err := c.Read(make([]byte, 1))
			if errors.Is(err, ErrReset) != tt.isReset || errors.Is(err, io.EOF) == tt.isReset {
				t.Errorf("read: %v, want a reset: %v", err, tt.isReset)
			}
			if err := <-written; !errors.Is(err, tt.writeErr) {
				t.Errorf("write: %v, want %v", err, tt.writeErr)
			}
		})
	}
}

// Guards against a later failure that hides the reset: after it has been reported, writes fail as they do after the peer's end.
func TestFailureAfterResetDoesNotHideIt(t *testing.T) {
	failures := []error{syscall.ECONNRESET, syscall.EPIPE}
	c := NewConn(&failingConn{failures: failures})
	for range failures {
		_, _ = c.Write([]byte("u"))
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, ErrReset) {
		t.Errorf("read: %v, want %v", err, ErrReset)
	}
}

// failingConn is a connection whose writes fail in turn, and whose reader finds a plain end.
type failingConn struct {
	net.Conn
	failures []error
}

func (c *failingConn) Write([]byte) (int, error) {
	err := c.failures[0]
	c.failures = c.failures[1:]

	return 0, err
}

func (c *failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a reset that is passed over once, by a reader that looks ahead, and is a plain end then.
func TestReadsAfterResetFailToo(t *testing.T) {
	c := NewConn(&endedConn{errs: []error{os.ErrDeadlineExceeded, syscall.ECONNRESET, io.EOF}})
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, want the end of the time", err)
	}
	for range 3 {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v, want a reset", err)
		}
	}
}

// endedConn is a connection whose reads fail in turn, and then as the last one did.
type endedConn struct {
	net.Conn
	errs []error
}

func (c *endedConn) Read([]byte) (int, error) {
	err := c.errs[0]
	if len(c.errs) > 1 {
		c.errs = c.errs[1:]
	}

	return 0, err
}

func (c *endedConn) SetWriteDeadline(time.Time) error { return nil }
