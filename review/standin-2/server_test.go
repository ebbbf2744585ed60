package standin2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a runner: it answers 421 to requests for another one, and states its proof.
type server struct {
	id      string
	service string
	zone    string
	version string
	slots   int
	addr    string
	// serve answers a request that is meant for this server.
	serve func(*exchange)

	mu       sync.Mutex
	born     int64
	listener net.Listener
	conns    map[net.Conn]struct{}
	arrivals []time.Time
}

// exchange is a request on a connection of a server.
type exchange struct {
	server  *server
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	body    []byte
	id      string
	// count is the number of the request on its connection, from 1.
	count int
}

// start lets the server listen, at the address that it had before if it had one.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		s.addr = anyPort
	}
	s.listener = listen(s.addr)
	s.addr = s.listener.Addr().String()
	s.born = time.Now().UnixMilli()
	s.conns = map[net.Conn]struct{}{}
	go s.accept(s.listener)
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		isCurrent := s.listener == l
		if isCurrent {
			s.conns[conn] = struct{}{}
		}
		s.mu.Unlock()
		if !isCurrent {
			_ = conn.Close()

			continue
		}
		go s.handle(conn)
	}
}

// crash ends the server: it no longer listens, and its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
	s.conns = nil
	record("server %s crashes", s.id)
}

// entry returns the server's entry in the store.
func (s *server) entry(sequence int, state string, cold time.Duration) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()

	return map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"cold-remaining-ms": max(cold, 0).Milliseconds(), "sequence": sequence, "born": s.born,
	}
}

func (s *server) handle(conn net.Conn) {
	reader := bufio.NewReader(conn)
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	for count := 1; ; count++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := &exchange{server: s, conn: conn, reader: reader, request: request, body: body, id: request.Header.Get("Cardamompulley-Attempt-Id"), count: count}
		switch target := request.Header.Get("Cardamompulley-Target-Instance"); {
		case x.id == "":
			x.answer(http.StatusBadRequest, map[string]string{"Cardamompulley-Not-Executed": "1"}, nil)
		case target != "" && target != s.id:
			x.answer(http.StatusMisdirectedRequest, map[string]string{"Cardamompulley-Not-Executed": "1"}, nil)
		default:
			s.serve(x)
		}
	}
}

// answer writes a whole answer with a length. The server's proof stands in it if the request has run.
func (x *exchange) answer(status int, header map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if x.id != "" {
		fmt.Fprintf(&b, "Cardamompulley-Attempt-Id: %s\r\n", x.id)
	}
	if header["Cardamompulley-Not-Executed"] == "" {
		fmt.Fprintf(&b, "Cardamompulley-Response-Signature: %s.%s\r\n", x.server.id, x.id)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	_, _ = x.conn.Write(b.Bytes())
}
