package standin3

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// call is a request that a runner has read up to the end of its head.
type call struct {
	runner  *runner
	conn    net.Conn
	request *http.Request
	// attempt is the client's id of the request.
	attempt string
}

// runner is a stand-in for a runner. Its answers are those of serve, which returns false if the connection is to be closed.
type runner struct {
	id, service, address string
	serve                func(*call) bool
	born                 int64
}

// idleTimeout is how long an idle connection to a runner stays open, as its answers say.
const idleTimeout = 10 * time.Second

func newRunner(id, service string, serve func(*call) bool) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, address: l.Addr().String(), serve: serve, born: time.Now().UnixMilli()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(conn)
		}
	}()

	return r, nil
}

func (r *runner) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		c := &call{runner: r, conn: conn, request: request, attempt: request.Header.Get("Cardamompulley-Attempt-Id")}
		if !c.isForThis() {
			c.answer(http.StatusMisdirectedRequest, "Cardamompulley-Not-Executed: 1\r\n", "another runner\n")

			return
		}
		if !r.serve(c) {
			return
		}
	}
}

// entry is what the runner writes into the store.
func (r *runner) entry(sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "hn-a", "version": "1", "slots": 64, "state": "ready",
		"cold-remaining-ms": 0, "sequence": sequence, "born": r.born,
	}
}

func (c *call) isForThis() bool {
	target := c.request.Header.Get("Cardamompulley-Target-Instance")

	return target == "" || target == c.runner.id
}

// head returns the head of an answer without its end.
func (c *call) head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nCardamompulley-Attempt-Id: %s\r\nCardamompulley-Response-Signature: %s.%s\r\nKeep-Alive: timeout=%d\r\n",
		status, http.StatusText(status), c.attempt, c.runner.id, c.attempt, int(idleTimeout.Seconds()))
}

// answer sends a whole answer with a length.
func (c *call) answer(status int, fields, body string) {
	fmt.Fprintf(c.conn, "%s%sContent-Length: %d\r\n\r\n%s", c.head(status), fields, len(body), body)
}
