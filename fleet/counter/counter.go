package counter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes read and written by all connections that it wraps. It is safe for concurrent use.
type Counter struct {
	bytes atomic.Int64
}

// Total returns the number of bytes counted so far.
func (c *Counter) Total() int64 {
	return c.bytes.Load()
}

// WrapListener returns a listener whose accepted connections are counted.
func (c *Counter) WrapListener(l net.Listener) net.Listener {
	return countedListener{Listener: l, counter: c}
}

// DialContext opens a counted connection with a default dialer.
func (c *Counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return c.DialFunc(&net.Dialer{})(ctx, network, address)
}

// DialFunc returns a function that opens counted connections with d, for use as http.Transport.DialContext.
func (c *Counter) DialFunc(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
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
