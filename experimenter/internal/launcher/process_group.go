package launcher

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// processGroup holds the processes of one launched fleet and the temporary directory with their settings.
type processGroup struct {
	dir       string
	binDir    string
	logs      io.Writer
	processes []*Process
}

func newProcessGroup(binDir string, logs io.Writer) (processGroup, error) {
	dir, err := os.MkdirTemp("", "cardamompulley-")
	if err != nil {
		return processGroup{}, fmt.Errorf("launcher: create settings directory: %w", err)
	}

	return processGroup{dir: dir, binDir: binDir, logs: logs}, nil
}

// startProgram starts a program of binDir and returns when it has printed the listener addresses of all purposes.
func (g *processGroup) startProgram(name, program string, purposes []string, arguments ...string) (*Process, error) {
	p, err := Start(name, filepath.Join(g.binDir, program), g.logs, purposes, arguments...)
	if p != nil {
		g.processes = append(g.processes, p)
	}

	return p, err
}

// Kill kills all processes, the last started first, and removes their settings.
func (g *processGroup) Kill() {
	for _, p := range slices.Backward(g.processes) {
		p.Kill()
	}
	_ = os.RemoveAll(g.dir)
}
