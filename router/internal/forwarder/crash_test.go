package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompulley/fleet/model"
)

const (
	unsizedHead = "HTTP/1.1 200 OK\r\nCardamompulley-Attempt-Id: a\r\nCardamompulley-Response-Signature: s\r\n"
	streamHead  = unsizedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstChunk  = "d\r\nid: 1\ndata\n\n\r\n"
)

// crashingEndpoint accepts connections, sends the start of a response to each request and then closes its listener and all
// connections, as a process does that crashes.
type crashingEndpoint struct {
	listener net.Listener
	start    string

	mu    sync.Mutex
	conns []net.Conn
}

func newCrashingEndpoint(t *testing.T, start string) *crashingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &crashingEndpoint{listener: l, start: start}
	t.Cleanup(e.crash)
	go e.accept()

	return e
}

func (e *crashingEndpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *crashingEndpoint) serve(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, e.start); err != nil {
		return
	}
	// Time for the start of the response to arrive.
	time.Sleep(20 * time.Millisecond)
	e.crash()
}

func (e *crashingEndpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

// crashesCounted returns the highest number of crashes counted against any suspect.
func crashesCounted(f *Forwarder) int {
	most := 0
	for _, s := range f.SharedSuspects(1 << 20) {
		most = max(most, len(s.Crashes))
	}

	return most
}

// serveAborting serves a request and swallows the panic that closes the caller's connection.
func serveAborting(ctx context.Context, f *Forwarder, attemptID model.AttemptID) {
	defer func() { _ = recover() }()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
	r.Header.Set("Cardamompulley-Attempt-Id", string(attemptID))
	f.ServeHTTP(httptest.NewRecorder(), r)
}

// A crash must be counted however the request ended, although no other request tries to reach the endpoint afterwards.
func TestCrashIsCountedWithoutAnotherRequest(t *testing.T) {
	cases := []struct{ name, start string }{
		{"before the head", ""},
		{"in the head", unsizedHead},
		{"in a sized body", unsizedHead + "Content-Length: 100\r\n\r\nshort"},
		{"in a large body", unsizedHead + "Content-Length: 200000\r\n\r\n" + strings.Repeat("0", 100_000)},
		{"after the head of a stream", streamHead},
		{"after the first event of a stream", streamHead + firstChunk},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashingEndpoint(t, x.start)
			f := newTestForwarder(e.listener.Addr().String())
			serveAborting(t.Context(), f, "a")
			waitForCount(t, f, 1)
		})
	}
}

// A request whose caller disconnects shortly before the crash must not escape the count.
func TestCrashIsCountedAgainstRequestWhoseCallerDisconnected(t *testing.T) {
	e := newCrashingEndpoint(t, "")
	f := newTestForwarder(e.listener.Addr().String())
	ctx, disconnect := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer disconnect()
	serveAborting(ctx, f, "a")
	time.Sleep(50 * time.Millisecond)
	f.recordCrash(f.CurrentView().Endpoint("e"))
	waitForCount(t, f, 1)
}

func waitForCount(t *testing.T, f *Forwarder, want int) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); crashesCounted(f) < want; {
		if time.Now().After(deadline) {
			t.Fatalf("%d crashes counted after a second, want %d", crashesCounted(f), want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A connection that breaks while the endpoint lives on is no crash.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_ = conn.Close()
				}
			}()
		}
	}()
	f := newTestForwarder(l.Addr().String())
	serveAborting(t.Context(), f, "a")
	time.Sleep(600 * time.Millisecond)
	if n := crashesCounted(f); n != 0 {
		t.Fatalf("%d crashes counted, want 0", n)
	}
}
