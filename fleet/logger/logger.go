package logger

import (
	"io"
	"strconv"
	"strings"

	"github.com/go-kit/log"
)

// Event is a type of log event with a stable number, name and level. docs/EVENTS.md lists all events with their meaning.
type Event struct {
	Number  int
	Name    string
	Level   string
	Meaning string
}

// Logger writes the log events of a process.
type Logger struct {
	target log.Logger
}

// NewLogger returns a logger that writes logfmt lines with a UTC timestamp and the process ID.
func NewLogger(w io.Writer, process string) Logger {
	target := log.NewLogfmtLogger(log.NewSyncWriter(w))

	return Logger{target: log.With(target, "ts", log.DefaultTimestampUTC, "process", process)}
}

// NewDiscard returns a logger that discards all events.
func NewDiscard() Logger {
	return Logger{target: log.NewNopLogger()}
}

// Write logs an event with the given fields. Errors of the underlying writer are ignored.
func (l Logger) Write(e Event, fields ...Field) {
	pairs := make([]any, 0, 2*len(fields)+6)
	pairs = append(pairs, "level", e.Level, "event", e.Number, "name", e.Name)
	for _, f := range fields {
		pairs = append(pairs, f.name, f.value)
	}
	_ = l.target.Log(pairs...)
}

// Field is a key-value pair of a log line.
type Field struct {
	name  string
	value any
}

// maxValueBytes bounds the texts in a log line, which may come from callers, endpoints or the store.
const maxValueBytes = 2048

// String returns a field with a string value, of which a long one is cut.
func String[T ~string](name string, value T) Field {
	return Field{name: name, value: cut(string(value))}
}

// cut returns the first maxValueBytes of a text.
func cut(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}

	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

// Int returns a field with an integer value.
func Int[T ~int | ~int32 | ~int64 | ~uint64 | ~uint32](name string, value T) Field {
	return Field{name: name, value: int64(value)}
}

// Err returns a field with the key error and the text of an error, of which a long one is cut.
func Err(err error) Field {
	if err == nil {
		return Field{name: "error", value: nil}
	}

	return Field{name: "error", value: cut(err.Error())}
}

// Bool returns a field with a boolean value.
func Bool(name string, value bool) Field {
	return Field{name: name, value: value}
}

// Hex returns a field with a value in hexadecimal, such as an ID or a hash.
func Hex(name string, value uint64) Field {
	return Field{name: name, value: strconv.FormatUint(value, 16)}
}
