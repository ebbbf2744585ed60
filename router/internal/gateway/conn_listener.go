package gateway

import (
	"net"
	"sync"
)

// connListener is a net.Listener for connections that another listener has accepted.
type connListener struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{}), address: address}
}

// deliver passes a connection to Accept; it returns false if the listener is closed.
func (l *connListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept waits for the next delivered connection; it returns net.ErrClosed after Close.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. It may be called more than once and never fails.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })

	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (l *connListener) Addr() net.Addr {
	return l.address
}
