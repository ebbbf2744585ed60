package drainer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cardamompulley/fleet/timekeeper"
)

// ErrListener means that a listener cannot be finished because its type has no deadline or file descriptor.
var ErrListener = errors.New("drainer: not a listener of the operating system")

// arrivedTimeout is how long the accept of a connection that has arrived may take.
const arrivedTimeout = 100 * timekeeper.Millis(1)

// socket is what a Listener needs of the listener that it wraps.
type socket interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Listener accepts tracked connections. A shutdown finishes it instead of closing it, so that connections that callers have
// opened already are accepted.
type Listener struct {
	socket
	tracker     *Tracker
	isFinishing atomic.Bool
	closeSocket func() error
	// done is closed when the listener has been closed.
	done chan struct{}
}

// NewListener returns a listener that accepts the connections of l and tracks them. It returns ErrListener if l cannot be
// finished.
func NewListener(l net.Listener, t *Tracker) (*Listener, error) {
	s, ok := l.(socket)
	if !ok {
		return nil, fmt.Errorf("%w: %T", ErrListener, l)
	}
	done := make(chan struct{})
	closeSocket := sync.OnceValue(func() error {
		defer close(done)

		return s.Close()
	})

	return &Listener{socket: s, tracker: t, closeSocket: closeSocket, done: done}, nil
}

// Accept implements net.Listener; see AcceptTracked.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTracked()
	if err != nil {
		return nil, err
	}

	return conn, nil
}

// AcceptTracked waits for the next connection. Once the listener is being finished, it returns the connections that have arrived,
// then closes the listener and returns net.ErrClosed. Any other error while it is being finished closes the listener, too.
func (l *Listener) AcceptTracked() (*Conn, error) {
	for {
		conn, err := l.socket.Accept()
		if err == nil {
			l.stopWaiting()

			return l.tracker.Track(conn), nil
		}
		if !l.isFinishing.Load() {
			return nil, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errors.Join(err, l.Close())
		}
		hasArrived, err := l.hasArrived()
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		if !hasArrived {
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		if err := l.SetDeadline(time.Now().Add(arrivedTimeout.Duration())); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
}

// stopWaiting makes the next accept return at once if the listener is being finished.
func (l *Listener) stopWaiting() {
	if l.isFinishing.Load() {
		// If the listener has been closed, the next accept reports it.
		_ = l.SetDeadline(pastDeadline)
	}
}

// Finish makes Accept return the connections that have arrived and no others, and returns once the listener is closed. It closes
// the listener itself if the context ends before.
func (l *Listener) Finish(ctx context.Context) error {
	l.isFinishing.Store(true)
	l.stopWaiting()
	select {
	case <-l.done:
	case <-ctx.Done():
	}

	return l.Close()
}

// Close closes the listener. It may be called more than once and returns the error of the first call.
func (l *Listener) Close() error {
	return l.closeSocket()
}

// hasArrived reports whether a connection can be accepted without waiting.
func (l *Listener) hasArrived() (bool, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, err
	}
	n := 0
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		pollErr = unix.EINTR
		for errors.Is(pollErr, unix.EINTR) {
			n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
	})

	return n > 0, errors.Join(err, pollErr)
}
