package counter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of all connections that it wraps, in both directions.
type Counter struct {
	bytes atomic.Int64
}

// Total returns the bytes counted so far.
func (c *Counter) Total() int64 {
	return c.bytes.Load()
}

// Listener wraps a listener so that its connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	return countedListener{Listener: l, counter: c}
}

// Dial opens a counted TCP connection.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return c.Through(&net.Dialer{})(ctx, network, address)
}

// Through returns what opens counted connections by a dialer.
func (c *Counter) Through(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return countedConn{Conn: conn, counter: c}, nil
	}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return countedConn{Conn: conn, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))

	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))

	return n, err
}
