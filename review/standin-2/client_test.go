package standin2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "ficu95.example"

// reply is what a client has seen of a request.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// requestText returns a request as a client sends it.
func requestText(method, path, id string, deadline time.Duration, header map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCardamompulley-Attempt-Id: %s\r\n", method, path, host, id)
	if deadline > 0 {
		fmt.Fprintf(&b, "Cardamompulley-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}

	return b.String() + "\r\n" + body
}

// readReply reads a whole answer.
func readReply(reader *bufio.Reader, method string) reply {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// call sends one request on a connection of its own.
func (g *gateway) call(method, path, id string, deadline time.Duration, header map[string]string, body string) reply {
	conn, err := g.dial()
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()

	return callOn(conn, bufio.NewReader(conn), method, path, id, deadline, header, body)
}

// callOn sends one request on a connection and waits for the answer until the deadline.
func callOn(conn net.Conn, reader *bufio.Reader, method, path, id string, deadline time.Duration, header map[string]string, body string) reply {
	_ = conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(conn, requestText(method, path, id, deadline, header, body)); err != nil {
		return reply{err: err}
	}

	return readReply(reader, method)
}
