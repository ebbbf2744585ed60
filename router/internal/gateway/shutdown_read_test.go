package gateway

import (
	"bufio"
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

func TestShutdownAnswersRequestThatWasRead(t *testing.T) {
	tests := []struct {
		name string
		// earlierRequests are answered on the connection before the request that is read when the shutdown begins.
		earlierRequests int
	}{
		{"first request of a connection", 0},
		{"second request of a connection", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			paused := &pausingListener{
				Listener: l, pausedRead: tt.earlierRequests + 1, paused: make(chan struct{}), resume: make(chan struct{}),
			}
			c := newTestCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			go func() { _ = c.serve(paused) }()
			conn := dial(t, l.Addr().String())
			reader := bufio.NewReader(conn)
			for range tt.earlierRequests {
				roundTrip(t, conn, reader)
			}
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-paused.paused
			ended := make(chan error, 1)
			go func() { ended <- c.shutdown(context.Background()) }()
			// Longer than shutdown waits for the first request of a connection.
			time.Sleep(700 * time.Millisecond)
			close(paused.resume)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, _, err := readResponse(reader); err != nil {
				t.Fatalf("a request that was read got no answer: %v", err)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// newTestCallerServer returns a server whose limits do not change and that refuses requests with 503 during shutdown.
func newTestCallerServer(handler http.Handler) *callerServer {
	limits := cataloguer.Limits{MaxHeaderBytes: 4096, HeaderTimeout: timekeeper.Minute, IdleTimeout: timekeeper.Minute}
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })

	return newCallerServer(handler, refuse, func() cataloguer.Limits { return limits }, func(error) {})
}

// roundTrip sends a request and reads its response, which must be a success, and returns the response's header.
func roundTrip(t *testing.T, conn net.Conn, reader *bufio.Reader) http.Header {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	status, header, err := readResponse(reader)
	if err != nil {
		t.Fatal(err)
	}
	if status != http.StatusOK {
		t.Fatalf("status %d", status)
	}

	return header
}

// readResponse reads a response to its end.
func readResponse(reader *bufio.Reader) (status int, header http.Header, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)

	return response.StatusCode, response.Header, errors.Join(err, response.Body.Close())
}
