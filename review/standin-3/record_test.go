package standin3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{file: f, begun: time.Now()}, nil
}

// write adds a line.
func (r *record) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}
