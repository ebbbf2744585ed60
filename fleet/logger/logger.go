package logger

import (
	"io"
	"strconv"

	"github.com/go-kit/log"
)

// Event is one numbered kind of log line; docs/EVENTS.md lists them all.
type Event struct {
	Number  int
	Name    string
	Level   string
	Meaning string
}

// Logger writes events of one process.
type Logger struct {
	target log.Logger
}

// NewLogger returns a logger that writes logfmt lines with the process id.
func NewLogger(w io.Writer, process string) Logger {
	target := log.NewLogfmtLogger(log.NewSyncWriter(w))

	return Logger{target: log.With(target, "ts", log.DefaultTimestampUTC, "process", process)}
}

// NewDiscard returns a logger that writes nothing.
func NewDiscard() Logger {
	return Logger{target: log.NewNopLogger()}
}

// Write logs one event with typed fields.
func (l Logger) Write(e Event, fields ...Field) {
	pairs := make([]any, 0, 2*len(fields)+6)
	pairs = append(pairs, "level", e.Level, "event", e.Number, "name", e.Name)
	for _, f := range fields {
		pairs = append(pairs, f.name, f.value)
	}
	_ = l.target.Log(pairs...)
}

// Field is one typed field of a log line.
type Field struct {
	name  string
	value any
}

// String returns a text field.
func String[T ~string](name string, value T) Field {
	return Field{name: name, value: string(value)}
}

// Int returns a whole-number field.
func Int[T ~int | ~int32 | ~int64 | ~uint64 | ~uint32](name string, value T) Field {
	return Field{name: name, value: int64(value)}
}

// Err returns the field of an error.
func Err(err error) Field {
	return Field{name: "error", value: err}
}

// Bool returns a yes-or-no field.
func Bool(name string, value bool) Field {
	return Field{name: name, value: value}
}

// Hex returns a field of a hexadecimal id.
func Hex(name string, value uint64) Field {
	return Field{name: name, value: strconv.FormatUint(value, 16)}
}
