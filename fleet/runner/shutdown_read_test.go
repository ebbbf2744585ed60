package runner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamompulley/fleet/pauser"
	"cardamompulley/fleet/runner"
)

func TestShutdownAnswersHTTP1CallThatWasRead(t *testing.T) {
	const call = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The first reads return the part of a call that HTTP/2 connections begin with, then the rest.
	held := pauser.NewListener(l.(*net.TCPListener), 2)
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	server := runner.NewServer(mux)
	go func() { _ = runner.Serve(server, held) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	<-held.Held
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(held.Resume)
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
