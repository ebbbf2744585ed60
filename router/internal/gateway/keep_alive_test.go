package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// serveTest serves a handler on loopback with a Keep-Alive timeout of one second.
func serveTest(t *testing.T, handler http.Handler) (c *callerServer, address string) {
	t.Helper()
	l := listenTCP(t)
	c = newTestCallerServer(handler)
	c.keepAliveTimeout = timekeeper.Second
	go func() { _ = c.serve(l) }()

	return c, l.Addr().String()
}

func TestShutdownKeepsConnectionsOpenForTheirKeepAliveTimeout(t *testing.T) {
	c, address := serveTest(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	if got := roundTrip(t, conn, reader).Get("Keep-Alive"); got != "timeout=1" {
		t.Errorf("Keep-Alive %q, want timeout=1", got)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.shutdown(context.Background()) }()
	time.Sleep(900 * time.Millisecond)
	writeRequests(t, conn, 1)
	if _, _, err := readResponse(reader); err != nil {
		t.Errorf("a request within the Keep-Alive timeout got no answer: %v", err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestResponseBegunBeforeShutdownClosesItsConnectionAtItsEnd(t *testing.T) {
	release := make(chan struct{})
	c, address := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	writeRequests(t, conn, 1)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	c.conns.CloseAfterResponse()
	close(release)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if !isClosedWithin(conn, time.Second) {
		t.Error("the connection stays open for another request")
	}
}

func TestKeepAliveTimeoutEndsBeforeConnectionsClose(t *testing.T) {
	tests := []struct {
		name          string
		shutdownGrace timekeeper.Millis
		idleTimeout   timekeeper.Millis
		want          timekeeper.Millis
	}{
		{"long grace", 8 * timekeeper.Second, timekeeper.Minute, 2 * timekeeper.Second},
		{"no idle timeout", 8 * timekeeper.Second, 0, 2 * timekeeper.Second},
		{"short idle timeout", 8 * timekeeper.Second, 1500, 1200},
		{"short grace", 3 * timekeeper.Second, timekeeper.Minute, 1200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Settings{ShutdownGrace: tt.shutdownGrace}
			if got := keepAliveWithin(tt.idleTimeout, s.keepAliveTimeout()); got != tt.want {
				t.Errorf("%d ms, want %d ms", got, tt.want)
			}
		})
	}
}
