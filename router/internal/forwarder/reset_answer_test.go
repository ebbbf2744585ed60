package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cardamompulley/fleet/scripter"
)

// longUploadBytes is more than the buffers of a connection take, so that an upload goes on until its endpoint reads it.
const longUploadBytes = 12 << 20

// earlyEndpoint answers a request before it has read the body, and then ends the connection.
type earlyEndpoint struct {
	answer string
	// readBytes is how much of the body it reads before it answers.
	readBytes int64
	end       func(*net.TCPConn)
}

// start returns the address at which the endpoint listens until the test ends.
func (e *earlyEndpoint) start(t *testing.T) string {
	t.Helper()

	return scripter.Serve(t, func(conn *net.TCPConn) {
		e.serve(conn)
		<-t.Context().Done()
	})
}

func (e *earlyEndpoint) serve(conn *net.TCPConn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, e.readBytes)
	_, _ = io.WriteString(conn, e.answer)
	e.end(conn)
}

// reset ends a connection without an end of what was sent on it.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// resetLater resets once the caller has read what was sent.
func resetLater(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	reset(conn)
}

// endAnswer ends what is sent and leaves the upload unread.
func endAnswer(conn *net.TCPConn) {
	_ = conn.CloseWrite()
}

// endAnswerAndReset ends what is sent. What has arrived of the upload resets the connection then.
func endAnswerAndReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_ = conn.Close()
}

// upload sends a long body through a server with the forwarder and returns the status and the body of the response. It returns an error if
// the response has no end.
func upload(t *testing.T, f *Forwarder) (status int, body string, err error) {
	t.Helper()
	server := httptest.NewServer(f)
	defer server.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("u", longUploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a"
	r.Header.Set("Cardamompulley-Attempt-Id", "a")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)

	return response.StatusCode, string(raw), err
}

// Guards against a part of an answer without a length that is passed on as whole because the reset that ended it was reported to the
// writer of the upload.
func TestAnswerWithoutLengthThatIsResetDuringUploadIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + signedHead
	answers := []struct{ name, answer string }{
		{"a short part", head + "\r\n" + strings.Repeat("p", 500)},
		{"a part that is relayed as it arrives", head + "\r\n" + strings.Repeat("p", 1<<20)},
		{"events", head + eventsHead + "\r\n" + firstEvent},
	}
	endpoints := []struct {
		name string
		earlyEndpoint
	}{
		{"reads nothing", earlyEndpoint{end: reset}},
		{"reads some of the upload", earlyEndpoint{readBytes: 1 << 20, end: reset}},
		{"resets later", earlyEndpoint{end: resetLater}},
	}
	for _, x := range answers {
		for _, e := range endpoints {
			t.Run(x.name+"/"+e.name, func(t *testing.T) {
				e.answer = x.answer
				status, body, err := upload(t, newTestForwarder(e.start(t)))
				if err == nil && status < 300 {
					t.Errorf("status %d and a whole body of %d bytes", status, len(body))
				}
			})
		}
	}
}

// An endpoint may end its answer before it has read the upload; a reset after that end takes nothing from it.
func TestAnswerWithoutLengthThatEndsDuringUploadIsWhole(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		end   func(*net.TCPConn)
	}{
		{"a short answer, and the connection stays", 500, endAnswer},
		{"a long answer, and the connection stays", 1 << 20, endAnswer},
		{"a short answer, and the connection is reset then", 500, endAnswerAndReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := earlyEndpoint{answer: "HTTP/1.1 200 OK\r\n" + signedHead + "\r\n" + strings.Repeat("p", tt.bytes), end: tt.end}
			status, body, err := upload(t, newTestForwarder(e.start(t)))
			if status != http.StatusOK || len(body) != tt.bytes || err != nil {
				t.Errorf("status %d, %d bytes, %v, want 200 and %d bytes", status, len(body), err, tt.bytes)
			}
		})
	}
}
