package scripter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// chunkBytes is about how much SendEndless writes at once.
const chunkBytes = 64 << 10

// Serve listens until the test ends and calls serve with each connection, which is closed afterwards. It returns the address.
func Serve(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()

	return l.Addr().String()
}

// ServeRequests is like Serve, but calls serve once the head of a request has been read.
func ServeRequests(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()

	return Serve(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn)
		}
	})
}

// ServeAnswer is like ServeRequests; it writes one answer to each request and closes the connection.
func ServeAnswer(t testing.TB, answer string) string {
	t.Helper()

	return ServeRequests(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, answer) })
}

// SendEndless writes start and then repeated over and over, until total bytes have been written or the connection is closed.
func SendEndless(w io.Writer, start, repeated string, total int) {
	_, _ = io.WriteString(w, start)
	chunk := strings.Repeat(repeated, 1+chunkBytes/len(repeated))
	for sent := 0; sent < total; sent += len(chunk) {
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
	}
}
