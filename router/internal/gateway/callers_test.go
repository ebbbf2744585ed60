package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/timekeeper"
)

// callersUnderTest serves on loopback under limits that change, with a handler that runs until it is let go.
func callersUnderTest(t *testing.T, limits *cataloguer.Limits) (c *callerServer, address string, running chan struct{}, letGo func()) {
	t.Helper()
	running, release := make(chan struct{}, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-release
		}
	})
	late := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	c = newCallerServer(handler, late, func() cataloguer.Limits { return *limits }, func(error) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = c.serve(l) }()

	return c, l.Addr().String(), running, func() { close(release) }
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })

	return conn
}

// closedWithin tells whether the other side closes a connection in time.
func closedWithin(conn net.Conn, span time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(span))
	_, err := conn.Read(make([]byte, 1))

	return errors.Is(err, io.EOF)
}

// A server for newer limits must not take requests while the one for older limits waits for its own.
func TestServersEndSideBySide(t *testing.T) {
	limits := cataloguer.Limits{MaxHeaderBytes: 4096, HeaderTimeout: timekeeper.Second, IdleTimeout: timekeeper.Minute}
	c, address, running, letGo := callersUnderTest(t, &limits)
	long := dial(t, address)
	if _, err := io.WriteString(long, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	limits.MaxHeaderBytes *= 2
	kept := dial(t, address)
	if _, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := kept.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.shutdown(context.Background()) }()
	if !closedWithin(kept, 2*time.Second) {
		t.Error("an idle connection of the newer server stays open")
	}
	letGo()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// A connection without a request is closed by an ending server, and not left to be closed when its request comes.
func TestConnectionsWithoutRequestsAreClosedAtTheEnd(t *testing.T) {
	limits := cataloguer.Limits{MaxHeaderBytes: 4096, HeaderTimeout: timekeeper.Minute, IdleTimeout: timekeeper.Minute}
	c, address, running, letGo := callersUnderTest(t, &limits)
	long := dial(t, address)
	if _, err := io.WriteString(long, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	unused := dial(t, address)
	time.Sleep(50 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- c.shutdown(context.Background()) }()
	if !closedWithin(unused, 2*time.Second) {
		t.Error("a connection without a request stays open")
	}
	letGo()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
