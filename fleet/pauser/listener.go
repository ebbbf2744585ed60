package pauser

import "net"

// Listener accepts connections of which one read is held back.
type Listener struct {
	*net.TCPListener
	// HeldRead is the number of the read that is held back, counted from 1 on each connection.
	HeldRead int
	// HoldsBefore is true if that read is held back before its system call, and false if after it.
	HoldsBefore bool
	// Held is closed when the read is held back.
	Held chan struct{}
	// Resume lets the read go on once it is closed.
	Resume chan struct{}
}

// NewListener returns a listener that accepts the connections of l and holds back the given read after its system call. One
// connection may reach that read.
func NewListener(l *net.TCPListener, heldRead int) *Listener {
	return &Listener{TCPListener: l, HeldRead: heldRead, Held: make(chan struct{}), Resume: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}

	return &conn{TCPConn: c, listener: l}, nil
}

type conn struct {
	*net.TCPConn
	listener *Listener
	reads    int
}

// Read reads from the connection. Reads of one byte are not counted: net/http looks with them for a caller that disconnects.
func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 1 {
		return c.TCPConn.Read(b)
	}
	c.reads++
	isHeld := c.reads == c.listener.HeldRead
	if isHeld && c.listener.HoldsBefore {
		c.listener.hold()
	}
	n, err := c.TCPConn.Read(b)
	if isHeld && !c.listener.HoldsBefore {
		c.listener.hold()
	}

	return n, err
}

func (l *Listener) hold() {
	close(l.Held)
	<-l.Resume
}
