package launcher

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// group is the processes of one launched fleet and the folder of their settings.
type group struct {
	folder   string
	programs string
	logs     io.Writer
	started  []*Process
}

func newGroup(programs string, logs io.Writer) (group, error) {
	folder, err := os.MkdirTemp("", "cardamompulley-")
	if err != nil {
		return group{}, fmt.Errorf("launcher: %w", err)
	}

	return group{folder: folder, programs: programs, logs: logs}, nil
}

// program starts a program of the group and returns when it listens for every purpose.
func (g *group) program(name, program string, purposes []string, arguments ...string) (*Process, error) {
	p, err := Start(name, filepath.Join(g.programs, program), g.logs, purposes, arguments...)
	if p != nil {
		g.started = append(g.started, p)
	}

	return p, err
}

// Kill ends every process at once.
func (g *group) Kill() {
	for _, p := range slices.Backward(g.started) {
		p.Kill()
	}
	_ = os.RemoveAll(g.folder)
}
