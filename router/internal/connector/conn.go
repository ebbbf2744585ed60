package connector

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	readBuffer = 4 << 10
	// inlineBody is the size up to which a body is sent before the answer is read.
	inlineBody = 8 << 10
)

// Request is one request as it goes out.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to one endpoint that carries one request at a time.
type Conn struct {
	// Reused tells whether the connection has carried a request before.
	Reused bool

	id      model.EndpointID
	raw     net.Conn
	reader  *bufio.Reader
	keep    timekeeper.Millis
	expires timekeeper.Millis
	// writing is true while a body is being sent.
	writing atomic.Bool
}

func newConn(id model.EndpointID, raw net.Conn) *Conn {
	return &Conn{id: id, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultIdle}
}

// Close ends the connection; an endpoint that still works on its request stops.
func (c *Conn) Close() {
	_ = c.raw.Close()
}

// idleUsable tells whether an idle connection is open and holds no surplus byte.
func (c *Conn) idleUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := source.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, fault := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = fault == syscall.EAGAIN

		return true
	})

	return err == nil && usable
}

// Send sends a request and reads the head of its answer.
func (c *Conn) Send(r *Request) (*http.Response, error) {
	head, err := encodeHead(r)
	if err != nil {
		return nil, err
	}
	if len(r.Body) <= inlineBody {
		if _, err := c.raw.Write(append(head, r.Body...)); err != nil {
			return nil, fmt.Errorf("connector: send to %s: %w", c.id, err)
		}
	} else {
		c.writing.Store(true)
		go c.sendLong(head, r.Body)
	}

	return c.readHead(r.Method)
}

// sendLong sends while the answer is read, since an endpoint may answer before it has read the whole body.
func (c *Conn) sendLong(head, body []byte) {
	buffers := net.Buffers{head, body}
	if _, err := buffers.WriteTo(c.raw); err == nil {
		c.writing.Store(false)
	}
}

func encodeHead(r *Request) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return nil, fmt.Errorf("connector: encode headers: %w", err)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")

	return b.Bytes(), nil
}

func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("connector: answer of %s: %w", c.id, err)
		}
		if response.StatusCode >= http.StatusOK {
			c.learnKeep(response.Header)

			return response, nil
		}
		_ = response.Body.Close()
	}
}

func (c *Conn) learnKeep(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.keep = timekeeper.Millis(seconds) * timekeeper.Second
		}
	}
}

// Reusable tells whether the connection can carry another request after an answer that was read to its end.
func (c *Conn) Reusable(response *http.Response) bool {
	return !response.Close && !c.writing.Load() && c.reader.Buffered() == 0 && c.keep > 0
}
