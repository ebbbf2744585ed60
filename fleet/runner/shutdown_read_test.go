package runner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamompulley/fleet/runner"
)

// pausingListener accepts connections on which the nth read that returns bytes is held back until resume is closed, as if
// the process were not running between the system call and the return from Read.
type pausingListener struct {
	net.Listener
	pausedRead int
	paused     chan struct{}
	resume     chan struct{}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &pausingConn{Conn: conn, listener: l}, nil
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
	reads    int
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	// Reads of one byte are net/http's check for a caller that disconnects.
	if n == 0 || len(b) == 1 {
		return n, err
	}
	c.reads++
	if c.reads == c.listener.pausedRead {
		close(c.listener.paused)
		<-c.listener.resume
	}

	return n, err
}

func TestShutdownAnswersHTTP1CallThatWasRead(t *testing.T) {
	const call = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The first reads return the part of a call that HTTP/2 connections begin with, then the rest.
	paused := &pausingListener{Listener: l, pausedRead: 2, paused: make(chan struct{}), resume: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	server := runner.NewServer(mux)
	go func() { _ = runner.Serve(server, paused) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	<-paused.paused
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(paused.resume)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("a call that was read got no answer: %v", err)
	}
	_ = response.Body.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
