package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"cardamompulley/fleet/retrier"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/router/internal/connector"
	"cardamompulley/router/internal/dispatcher"
)

const streamBuffer = 4 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream is how far the caller's stream has come, over all endpoints that served it.
type stream struct {
	started bool
	last    string
	pending []byte
	// firstAt and readAt are when the first and the newest events arrived; gap is the longest pause between two.
	firstAt timekeeper.Millis
	readAt  timekeeper.Millis
	gap     timekeeper.Millis
}

// beat notes the arrival of events.
func (s *stream) beat(now timekeeper.Millis) {
	if s.firstAt == 0 {
		s.firstAt = now
	} else {
		s.gap = max(s.gap, now-s.readAt)
	}
	s.readAt = now
}

// take adds bytes and returns those that form whole events; the result is valid until the next call.
func (s *stream) take(read []byte) []byte {
	s.pending = append(s.pending, read...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil
	}

	return s.pending[:end+len(eventEnd)]
}

// drop forgets events that have been passed on and notes the id of the last of them.
func (s *stream) drop(events []byte) {
	if id := lastID(events); id != "" {
		s.last = id
	}
	s.pending = append(s.pending[:0], s.pending[len(events):]...)
}

func lastID(events []byte) string {
	at := bytes.LastIndex(events, idField)
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return ""
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))

	return string(bytes.TrimSpace(line))
}

// deliverStream passes events on as they arrive; a stream that breaks never looks complete.
func (j *job) deliverStream(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	j.stream.pending = j.stream.pending[:0]
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			j.passEvents(conn, response, j.stream.take(buffer[:n]))
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return j.breakStream(conn, err)
		}

		return j.endStream(conn, response)
	}
}

func (j *job) passEvents(conn *connector.Conn, response *http.Response, events []byte) {
	if len(events) == 0 {
		return
	}
	j.stream.beat(j.f.clock.Now())
	if !j.stream.started {
		j.startStream(response)
	}
	_, err := j.w.Write(events)
	if err == nil {
		err = http.NewResponseController(j.w).Flush()
	}
	if err != nil {
		conn.Close()
		j.leave()
	}
	j.stream.drop(events)
}

func (j *job) startStream(response *http.Response) {
	j.stream.started = true
	j.read()
	firstLatency.Update(float64(j.f.clock.Now()-j.arrived) / 1000)
	j.writeHead(response.StatusCode, outgoing(response.Header), -1)
}

func (j *job) endStream(conn *connector.Conn, response *http.Response) *dispatcher.Failure {
	if len(j.stream.pending) > 0 {
		return j.breakStream(conn, errBroken)
	}
	j.release(conn, response)
	j.f.noteHealth(j.choice.Endpoint.ID, true)
	j.grade(false)
	if !j.stream.started {
		j.startStream(response)
	}
	j.logServed(response.StatusCode)

	return nil
}

// breakStream ends a connection whose stream broke.
func (j *job) breakStream(conn *connector.Conn, err error) *dispatcher.Failure {
	conn.Close()
	if j.ctx.Err() == nil {
		j.f.noteHealth(j.choice.Endpoint.ID, false)
		j.f.blame(j.choice.Endpoint.ID, j.fingerprint)
	}
	j.gradeLoss()

	return j.failure(err, retrier.AttemptFailure{ReachedEndpoint: true, MayHaveRun: true})
}
