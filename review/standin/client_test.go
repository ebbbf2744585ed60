package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client, on a new connection.
type call struct {
	gateway  *gateway
	method   string
	path     string
	attempt  string
	key      string
	deadline time.Duration
	// session makes the request one with a prompt, of this session.
	session int
	body    []byte
	// upload is how long the client takes to send the body, in pieces; zero is at once.
	upload time.Duration
}

// systemPrompt is the first part of all prompts.
const systemPrompt = 0x5c1e0000

// answer is what a client has received.
type answer struct {
	status      int
	header      http.Header
	body        string
	isComplete  bool
	err         error
	uploadedAt  time.Time
	completedAt time.Time
}

const uploadPieces = 40

func (c *call) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCardamompulley-Attempt-Id: %s\r\n", c.method, c.path, host, c.attempt)
	fmt.Fprintf(&b, "Cardamompulley-Deadline-Ms: %d\r\n", c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Cardamompulley-Key: %s\r\n", c.key)
	}
	if c.session > 0 {
		fmt.Fprintf(&b, "Cardamompulley-Model: m\r\nCardamompulley-Token-Counts: 830,300\r\n")
		fmt.Fprintf(&b, "Cardamompulley-Prompt-Prefix: %x:512,%x:580,%s:130\r\n", systemPrompt, systemPrompt+c.session, c.attempt)
	}
	if len(c.body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")

	return b.String()
}

// do sends the request and reads the whole answer.
func (c *call) do() answer {
	conn, err := net.DialTimeout("tcp", c.gateway.callers, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + 2*time.Second))
	a := answer{}
	if a.err = c.send(conn); a.err != nil {
		return a
	}
	a.uploadedAt = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		a.err = err

		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.isComplete, a.completedAt = string(body), err, err == nil, time.Now()

	return a
}

func (c *call) send(conn net.Conn) error {
	if _, err := io.WriteString(conn, c.head()); err != nil {
		return err
	}
	if c.upload == 0 {
		_, err := conn.Write(c.body)

		return err
	}
	size := (len(c.body) + uploadPieces - 1) / uploadPieces
	for start := 0; start < len(c.body); start += size {
		time.Sleep(c.upload / uploadPieces)
		if _, err := conn.Write(c.body[start:min(start+size, len(c.body))]); err != nil {
			return err
		}
	}

	return nil
}

// event is an event of a stream.
type event struct {
	id   int
	data string
}

// events returns the whole events of a stream's body and what does not belong to one.
func events(body string) (list []event, rest string) {
	parts := strings.Split(body, "\n\n")
	for _, part := range parts[:len(parts)-1] {
		id, data, isEvent := strings.Cut(part, "\ndata: ")
		number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if !isEvent || err != nil {
			rest += part

			continue
		}
		list = append(list, event{number, data})
	}

	return list, rest + parts[len(parts)-1]
}
