package splitter

import (
	"bytes"
	"io"
	"strings"

	"github.com/tmaxmax/go-sse"
)

// ByteOrderMark may begin a stream, and is then no part of its first event.
var ByteOrderMark = []byte("\ufeff")

// Splitter holds the bytes of a stream that have not been taken yet. The zero value is at the start of a stream.
type Splitter struct {
	pending []byte
	// scanned and end count the first bytes of pending: those that have been looked at, and those of whole events.
	scanned int
	end     int
	// hasLine is true if the current line has bytes; isAfterCR is true after a carriage return, which a line feed may complete.
	hasLine   bool
	isAfterCR bool
	// hasTaken is true once events of the current stream have been taken.
	hasTaken bool
	// lastEventID is the ID of the last event that was taken, or of the latest before it that has one.
	lastEventID string
}

// Add appends bytes of the stream and returns the whole events among those that have not been taken. The result is valid until the
// next call.
func (s *Splitter) Add(chunk []byte) []byte {
	s.pending = append(s.pending, chunk...)
	for ; s.scanned < len(s.pending); s.scanned++ {
		s.scan(s.pending[s.scanned])
	}

	return s.pending[:s.end]
}

// scan looks at the next byte. Lines end with CR, LF or CR LF, and events with an empty line.
func (s *Splitter) scan(c byte) {
	switch {
	case c == '\n' && s.isAfterCR:
		if s.end == s.scanned {
			s.end++
		}
	case c == '\n' || c == '\r':
		if !s.hasLine {
			s.end = s.scanned + 1
		}
		s.hasLine = false
	default:
		s.hasLine = true
	}
	s.isAfterCR = c == '\r'
}

// Take removes the whole events and remembers the ID of the last of them.
func (s *Splitter) Take() {
	if s.end == 0 {
		return
	}
	events := s.pending[:s.end]
	if !s.hasTaken {
		events = bytes.TrimPrefix(events, ByteOrderMark)
	}
	s.hasTaken = true
	s.lastEventID = readLastEventID(s.lastEventID, events)
	s.pending = append(s.pending[:0], s.pending[s.end:]...)
	s.scanned -= s.end
	s.end = 0
}

// Restart forgets what has not been taken; the next bytes are those of another stream, which goes on after the last event.
func (s *Splitter) Restart() {
	*s = Splitter{pending: s.pending[:0], lastEventID: s.lastEventID}
}

// RestBytes returns the size of what has been added and is no whole event yet.
func (s *Splitter) RestBytes() int {
	return len(s.pending) - s.end
}

// HasRest reports whether bytes that are no whole event have been added.
func (s *Splitter) HasRest() bool {
	return s.RestBytes() > 0
}

// LastEventID returns the ID of the last event that was taken, or of the latest before it that has one. It is empty if none has, or if
// that ID is empty.
func (s *Splitter) LastEventID() string {
	return s.lastEventID
}

// readLastEventID returns the last event ID after some whole events, if id was the one before them.
func readLastEventID(id string, events []byte) string {
	var stream io.Reader = bytes.NewReader(events)
	if id != "" {
		stream = io.MultiReader(strings.NewReader("id: "+id+"\n\n"), stream)
	}
	for e, err := range sse.Read(stream, &sse.ReadConfig{MaxEventSize: len(id) + len(events) + 8}) {
		if err != nil {
			break
		}
		id = e.LastEventID
	}

	return id
}
