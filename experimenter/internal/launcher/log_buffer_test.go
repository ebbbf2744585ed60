package launcher_test

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"sync"
	"time"
)

var errNoEvent = errors.New("launcher: no such event in the logs")

// lockedBuffer collects the logs of several processes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends log lines.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.text.Write(p)
}

// timeOf returns the time of the first event of a name that a process has logged, or errNoEvent.
func (b *lockedBuffer) timeOf(process, event string) (time.Time, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := regexp.MustCompile(`ts=(\S+) process=` + process + ` .* name=` + event + `\b`)
	found := line.FindStringSubmatch(b.text.String())
	if found == nil {
		return time.Time{}, fmt.Errorf("%w: %s of %s", errNoEvent, event, process)
	}

	return time.Parse(time.RFC3339Nano, found[1])
}

// count returns the number of events of a name in all logs.
func (b *lockedBuffer) count(event string) int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return bytes.Count(b.text.Bytes(), []byte(" name="+event+" "))
}
