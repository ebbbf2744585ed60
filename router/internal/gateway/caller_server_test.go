package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamompulley/fleet/cataloguer"
	"cardamompulley/fleet/timekeeper"
)

// startCallerServer starts a server on loopback with limits that the test may change. Requests for /long signal running and
// block until releaseAll is called.
func startCallerServer(t *testing.T, limits *atomic.Pointer[cataloguer.Limits]) (
	c *callerServer, address string, running chan struct{}, releaseAll func(),
) {
	t.Helper()
	running, release := make(chan struct{}, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-release
		}
	})
	shutdownHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	c = newCallerServer(handler, shutdownHandler, func() cataloguer.Limits { return *limits.Load() }, func(error) {})
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
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))

	return conn
}

// isClosedWithin reports whether the server closes a connection within the timeout.
func isClosedWithin(conn net.Conn, timeout time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := conn.Read(make([]byte, 1))

	return errors.Is(err, io.EOF)
}

// Guards against shutting down servers one after the other: the server for newer limits would keep taking requests on open
// connections while the server for older limits waits for a running request.
func TestServersShutDownConcurrently(t *testing.T) {
	older := cataloguer.Limits{MaxHeaderBytes: 4096, HeaderTimeout: timekeeper.Second, IdleTimeout: timekeeper.Minute}
	newer := older
	newer.MaxHeaderBytes *= 2
	var limits atomic.Pointer[cataloguer.Limits]
	limits.Store(&older)
	c, address, running, releaseAll := startCallerServer(t, &limits)
	long := dial(t, address)
	if _, err := io.WriteString(long, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	limits.Store(&newer)
	kept := dial(t, address)
	if _, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := kept.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.shutdown(context.Background()) }()
	if !isClosedWithin(kept, 2*time.Second) {
		t.Error("an idle connection of the server for newer limits stays open after shutdown has begun")
	}
	releaseAll()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against leaving open a connection that has not sent a request: http.Server would close it without a response when
// the request arrives.
func TestShutdownClosesConnectionsWithoutRequests(t *testing.T) {
	var limits atomic.Pointer[cataloguer.Limits]
	limits.Store(&cataloguer.Limits{MaxHeaderBytes: 4096, HeaderTimeout: timekeeper.Minute, IdleTimeout: timekeeper.Minute})
	c, address, running, releaseAll := startCallerServer(t, &limits)
	long := dial(t, address)
	if _, err := io.WriteString(long, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	unused := dial(t, address)
	time.Sleep(50 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- c.shutdown(context.Background()) }()
	if !isClosedWithin(unused, 2*time.Second) {
		t.Error("a connection without a request stays open after shutdown has begun")
	}
	releaseAll()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
