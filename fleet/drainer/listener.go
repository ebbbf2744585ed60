package drainer

import (
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
	once        sync.Once
	closeErr    error
	done        chan struct{}
}

// NewListener returns a listener that accepts the connections of l and tracks them. It returns ErrListener if l cannot be
// finished.
func NewListener(l net.Listener, t *Tracker) (*Listener, error) {
	s, ok := l.(socket)
	if !ok {
		return nil, fmt.Errorf("%w: %T", ErrListener, l)
	}

	return &Listener{socket: s, tracker: t, done: make(chan struct{})}, nil
}

// Accept calls AcceptTracked.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTracked()
	if err != nil {
		return nil, err
	}

	return conn, nil
}

// AcceptTracked waits for the next connection. Once the listener is being finished, it returns the connections that have arrived,
// then closes the listener and returns net.ErrClosed.
func (l *Listener) AcceptTracked() (*Conn, error) {
	for {
		conn, err := l.socket.Accept()
		if err == nil {
			return l.tracker.Track(conn), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !l.isFinishing.Load() {
			return nil, err
		}
		if hasArrived, err := l.hasArrived(); err != nil || !hasArrived {
			return nil, errors.Join(net.ErrClosed, err, l.Close())
		}
		if err := l.SetDeadline(time.Now().Add(arrivedTimeout.Duration())); err != nil {
			return nil, err
		}
	}
}

// Finish makes Accept return only connections that have arrived, and returns once it has closed the listener. It must be called
// while a goroutine accepts connections.
func (l *Listener) Finish() error {
	l.isFinishing.Store(true)
	if err := l.SetDeadline(pastDeadline); err != nil {
		return err
	}
	<-l.done

	return nil
}

// Close closes the listener. It may be called more than once and returns the error of the first call.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.closeErr = l.socket.Close()
		close(l.done)
	})

	return l.closeErr
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
		n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})

	return n > 0, errors.Join(err, pollErr)
}
