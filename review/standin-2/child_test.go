package standin2

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// child is a server that runs as a process of its own, so that its end is that of a process.
type child struct {
	*server

	command *exec.Cmd
	done    chan struct{}
}

// slotsOf holds the slots of a server by its service, as on the sheet.
var slotsOf = map[string]int{"scribe-llm": 64, "ledger-app": 6}

// startChild starts a server as a process.
func startChild(id, service, zone string) *child {
	c := &child{server: &server{id: id, service: service, zone: zone, version: "v1", slots: slotsOf[service]}, done: make(chan struct{})}
	c.command = exec.Command(os.Args[0], "server", id)
	c.command.Stderr = os.Stderr
	output, err := c.command.StdoutPipe()
	if err != nil {
		cannotRun("pipe: %v", err)
	}
	if err := c.command.Start(); err != nil {
		cannotRun("start of server %s: %v", id, err)
	}
	recordMu.Lock()
	children = append(children, c)
	recordMu.Unlock()
	reader := bufio.NewReader(output)
	address, err := reader.ReadString('\n')
	if err != nil {
		cannotRun("server %s: %v", id, err)
	}
	c.addr, c.born = strings.TrimSpace(address), time.Now().UnixMilli()
	go func() {
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				break
			}
			record("server %s %s", id, strings.TrimSpace(line))
		}
		_ = c.command.Wait()
		close(c.done)
	}()

	return c
}

// kill ends the process at once.
func (c *child) kill() {
	_ = c.command.Process.Kill()
	<-c.done
}

// serveChild is the process of a server. Its answers have no length: they end with their connections.
func serveChild(id string) {
	s := &server{id: id, addr: anyPort}
	s.serve = func(x *exchange) {
		fmt.Printf("runs %s\n", x.id)
		if strings.HasPrefix(x.request.URL.Path, "/sign-off/") {
			x.unframedBody()
		} else {
			x.unframedStream()
		}
		fmt.Printf("has answered %s\n", x.id)
	}
	s.start()
	fmt.Println(s.addr)
	select {}
}

// The answers of a child server.
const (
	unframedEvents = 40
	unframedLines  = 20
	unframedPause  = 100 * time.Millisecond
)

func (x *exchange) unframedHead(contentType string) {
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nCardamompulley-Attempt-Id: %s\r\nCardamompulley-Response-Signature: %s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		x.id, x.server.id, x.id, contentType)
}

// unframedStream writes the events after the one that the request names, and ends with the connection.
func (x *exchange) unframedStream() {
	first, _ := strconv.Atoi(x.request.Header.Get("Last-Event-Id"))
	x.unframedHead("text/event-stream")
	for n := first + 1; n <= unframedEvents; n++ {
		if _, err := fmt.Fprintf(x.conn, "id: %d\ndata: piece %d of %d\n\n", n, n, unframedEvents); err != nil {
			return
		}
		time.Sleep(unframedPause)
	}
	_ = x.conn.Close()
}

// unframedBody writes a body of lines and ends with the connection.
func (x *exchange) unframedBody() {
	x.unframedHead("text/plain")
	for n := 1; n <= unframedLines; n++ {
		if _, err := fmt.Fprintf(x.conn, "line %d of %d\n", n, unframedLines); err != nil {
			return
		}
		time.Sleep(unframedPause / 10)
	}
	_ = x.conn.Close()
}
