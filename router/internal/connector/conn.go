package connector

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"cardamompulley/fleet/dialer"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is sent in full before the response is read.
	maxInlineBodyBytes = 8 << 10
)

// Request is an HTTP request to an endpoint.
type Request struct {
	Method string
	// RequestURI is the request target of the request line: path and query, as the caller sent them.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
}

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	// IsReused is true if the connection was taken from the idle connections of its pool.
	IsReused bool

	// unbind keeps the end of the request's context from closing the connection; it returns false if that has begun.
	unbind      func() bool
	endpoint    model.EndpointID
	netConn     *dialer.Conn
	bounded     *boundedReader
	reader      *bufio.Reader
	idleTimeout timekeeper.Millis
	expiresAt   timekeeper.Millis
	// isWritingBody is true while a large body is being sent, and stays true if sending it fails.
	isWritingBody atomic.Bool
}

func newConn(id model.EndpointID, c net.Conn) *Conn {
	netConn := dialer.NewConn(c)
	bounded := &boundedReader{reader: netConn}

	return &Conn{
		unbind:      notBound,
		endpoint:    id,
		netConn:     netConn,
		bounded:     bounded,
		reader:      bufio.NewReaderSize(bounded, readBufferBytes),
		idleTimeout: defaultIdleTimeout,
	}
}

// notBound is the unbind of a connection that no request uses.
func notBound() bool { return true }

// bind closes the connection when the context of its request ends.
func (c *Conn) bind(ctx context.Context) {
	c.unbind = context.AfterFunc(ctx, func() { _ = c.netConn.Close() })
}

// Close closes the connection. The endpoint aborts a request that is still running.
func (c *Conn) Close() {
	c.unbind()
	_ = c.netConn.Close()
}

// isUsable reports whether an idle connection is still open and has no unread bytes.
func (c *Conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.netConn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen = readErr == syscall.EAGAIN

		return true
	})

	return err == nil && isOpen
}

// Send sends a request and reads the head of the response, skipping informational responses. The body is left unread.
func (c *Conn) Send(r *Request) (*http.Response, error) {
	head, err := encodeRequestHead(r)
	if err != nil {
		return nil, err
	}
	if len(r.Body) <= maxInlineBodyBytes {
		if _, err := c.netConn.Write(append(head, r.Body...)); err != nil {
			return nil, fmt.Errorf("connector: send to %s: %w", c.endpoint, err)
		}
	} else {
		c.isWritingBody.Store(true)
		go c.sendLargeBody(head, r.Body)
	}

	return c.readResponseHead(r.Method)
}

// sendLargeBody sends the request while the response is read, because an endpoint may respond before it has read the whole
// body.
func (c *Conn) sendLargeBody(head, body []byte) {
	start := append(head, body[:maxInlineBodyBytes]...)
	if _, err := c.netConn.Write(start); err != nil {
		return
	}
	if _, err := c.netConn.Write(body[maxInlineBodyBytes:]); err == nil {
		c.isWritingBody.Store(false)
	}
}

func encodeRequestHead(r *Request) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return nil, fmt.Errorf("connector: encode headers: %w", err)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")

	return b.Bytes(), nil
}

// updateIdleTimeout adopts the idle timeout that the endpoint announces in its Keep-Alive header.
func (c *Conn) updateIdleTimeout(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = timekeeper.Millis(seconds) * timekeeper.Second
		}
	}
}

// IsReusableAfter reports whether the connection can carry another request, given a response that was read to its end.
func (c *Conn) IsReusableAfter(response *http.Response) bool {
	return !response.Close && !c.isWritingBody.Load() && c.reader.Buffered() == 0 && c.idleTimeout > 0 && !hasUnreadBody(response)
}

// hasUnreadBody reports whether the head of a response that ends with it says that a body follows. The body may arrive later.
func hasUnreadBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")

	return response.StatusCode == http.StatusNoContent && (length != "" && length != "0" || len(response.TransferEncoding) > 0)
}
