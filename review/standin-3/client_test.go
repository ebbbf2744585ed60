package standin3

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client keeps one connection to a gateway.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// outcome is what a client has got.
type outcome struct {
	status int
	header http.Header
	body   []byte
	// err is why the answer is not complete, nil if it is.
	err error
	// took is the time from the last byte of the request to the end.
	took time.Duration
}

func newClient(g *gateway) (*client, error) {
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return nil, err
	}

	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and reads the answer. The client waits for deadline.
func (c *client) send(method, uri, attempt, fields string, body []byte, deadline time.Duration) outcome {
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCardamompulley-Attempt-Id: %s\r\nCardamompulley-Deadline-Ms: %d\r\nCardamompulley-Key: %s\r\n%s",
		method, uri, host, attempt, deadline.Milliseconds(), apiKey, fields)
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return outcome{err: err}
	}
	sentAt := time.Now()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return outcome{err: err, took: time.Since(sentAt)}
	}
	read, err := io.ReadAll(response.Body)

	return outcome{status: response.StatusCode, header: response.Header, body: read, err: err, took: time.Since(sentAt)}
}

func (c *client) close() { _ = c.conn.Close() }
