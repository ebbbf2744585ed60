package server

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/pauser"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/router/internal/settings"
)

const testToken = "token"

func TestShutdownAnswersFirstRequestThatWasRead(t *testing.T) {
	testShutdownAnswersRequestThatWasRead(t, 0)
}

func TestShutdownAnswersLaterRequestThatWasRead(t *testing.T) {
	testShutdownAnswersRequestThatWasRead(t, 1)
}

// testShutdownAnswersRequestThatWasRead begins the shutdown while a request has been read from a connection on which
// earlier requests have been answered.
func testShutdownAnswersRequestThatWasRead(t *testing.T, earlierRequests int) {
	t.Helper()
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := pauser.NewListener(l.(*net.TCPListener), earlierRequests+1)
	v := newReadyServer(t)
	go func() { _ = v.Serve(held) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	for range earlierRequests {
		sendRequest(t, conn, "/services/a/")
		if status, _ := readResponse(t, reader); status != http.StatusNotFound {
			t.Fatalf("status %d", status)
		}
	}
	sendRequest(t, conn, "/services/a/")
	<-held.Held
	ended := make(chan error, 1)
	go func() { ended <- v.Shutdown(context.Background()) }()
	// Longer than the interval in which the server looks for idle connections.
	time.Sleep(300 * time.Millisecond)
	close(held.Resume)
	if status, willClose := readResponse(t, reader); status != http.StatusServiceUnavailable || !willClose {
		t.Errorf("status %d, announces that the connection closes: %v", status, willClose)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that waits for the read timeout of a connection without a request, or responds to it.
func TestShutdownClosesConnectionWithoutRequest(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := newReadyServer(t)
	go func() { _ = v.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for v.app.Server().GetOpenConnectionsCount() != 1 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := v.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if response, err := io.ReadAll(conn); err != nil || len(response) > 0 {
		t.Errorf("the connection ends with %q and %v", response, err)
	}
}

func TestShutdownAnnouncesCloseInAnswerOfRunningRequest(t *testing.T) {
	testShutdownAnnouncesClose(t, func(c fiber.Ctx) error { return c.SendString("ok") })
}

func TestShutdownAnnouncesCloseInStreamOfRunningRequest(t *testing.T) {
	testShutdownAnnouncesClose(t, func(c fiber.Ctx) error {
		return c.SendStreamWriter(func(w *bufio.Writer) { _, _ = w.WriteString("ok") })
	})
}

// testShutdownAnnouncesClose begins the shutdown while a request runs whose response has not begun.
func testShutdownAnnouncesClose(t *testing.T, respond fiber.Handler) {
	t.Helper()
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running, finish := make(chan struct{}), make(chan struct{})
	v := newReadyServer(t)
	v.app.Get("/run", func(c fiber.Ctx) error {
		close(running)
		<-finish

		return respond(c)
	})
	go func() { _ = v.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	sendRequest(t, conn, "/run")
	<-running
	ended := make(chan error, 1)
	go func() { ended <- v.Shutdown(context.Background()) }()
	// The listener is closed after the server has recorded that it shuts down.
	waitUntilClosed(t, l.Addr().String())
	close(finish)
	if status, willClose := readResponse(t, bufio.NewReader(conn)); status != http.StatusOK || !willClose {
		t.Errorf("status %d, announces that the connection closes: %v", status, willClose)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// waitUntilClosed waits until a listener refuses connections.
func waitUntilClosed(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatal("the listener stays open")
}

// newReadyServer returns a server whose configuration has no service and one client account, with testToken.
func newReadyServer(t *testing.T) *Server {
	t.Helper()
	platform := startPlatform(t)
	s := settings.NewSettings()
	s.ConfigurationService, s.VMList = platform.URL, platform.URL
	f := follower.NewFollower(s.Settings, model.RoleRouter, configurator.AllParts, timekeeper.NewSystemClock(), logger.NewDiscard())
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-f.Done()
	})
	v := NewServer(s, f, tracer.NewDisabledTracer())
	for deadline := time.Now().Add(5 * time.Second); !v.IsReady(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the server does not become ready")
		}
	}

	return v
}

// startPlatform starts a configuration service and a VM list.
func startPlatform(t *testing.T) *httptest.Server {
	t.Helper()
	accounts := fmt.Appendf(nil, `{"a": {"token-sha256": "%x"}}`, sha256.Sum256([]byte(testToken)))
	hash := configurator.ContentHash(accounts)
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/config/manifest", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"version": 1, "parts": {"accounts-0": %q}}`, hash)
	})
	mux.HandleFunc("/v1/config/values/"+hash, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(accounts) })
	mux.HandleFunc("/v1/vms", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "[]") })
	platform := httptest.NewServer(mux)
	t.Cleanup(platform.Close)

	return platform
}

func sendRequest(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	request := "GET " + path + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testToken + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads a response to its end. It returns whether the response announces that the connection closes.
func readResponse(t *testing.T, reader *bufio.Reader) (status int, willClose bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("a request that was read got no answer: %v", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}

	return response.StatusCode, response.Close
}
