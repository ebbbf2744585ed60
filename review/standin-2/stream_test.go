package standin2

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// startStream writes the head of a stream.
func (x *exchange) startStream() {
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nCardamompulley-Attempt-Id: %s\r\nCardamompulley-Response-Signature: %s.%s\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", x.id, x.server.id, x.id)
}

func (x *exchange) chunk(text string) error {
	_, err := io.WriteString(x.conn, strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n")

	return err
}

// stream writes the events after the one that the request names, up to the last, and the end of the stream.
func (x *exchange) stream(last int, pause time.Duration) {
	first, _ := strconv.Atoi(x.request.Header.Get("Last-Event-Id"))
	x.startStream()
	for n := first + 1; n <= last; n++ {
		time.Sleep(pause)
		if x.chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)) != nil {
			return
		}
	}
	_, _ = io.WriteString(x.conn, "0\r\n\r\n")
}
