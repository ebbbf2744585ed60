package standin2

import (
	"net"
	"sync"
)

// proxy stands between a gateway and the store. Its open connections can go silent for good, without a reset, while new ones work.
type proxy struct {
	addr   string
	target string

	mu sync.Mutex
	// generation counts the times at which connections have gone silent; a connection of an earlier one passes nothing on.
	generation int
	conns      []net.Conn
}

func newProxy(target string) *proxy {
	l := listen(anyPort)
	p := &proxy{addr: l.Addr().String(), target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.join(conn)
		}
	}()

	return p
}

// silence makes the open connections silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
}

func (p *proxy) current() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.generation
}

func (p *proxy) join(conn net.Conn) {
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()

		return
	}
	generation := p.current()
	go p.pass(conn, other, generation)
	p.pass(other, conn, generation)
}

// pass copies bytes until the connection has gone silent or ended. What a silent connection still sends is lost, and its other side does not
// learn of its end.
func (p *proxy) pass(from, to net.Conn, generation int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		isSilent := p.current() != generation
		if err != nil {
			if !isSilent {
				_ = to.Close()
			}

			return
		}
		if isSilent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()

			return
		}
	}
}
