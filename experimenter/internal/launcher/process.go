package launcher

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// ErrNotStarted means that a process exited or timed out before it printed the addresses of its listeners.
var ErrNotStarted = errors.New("launcher: process not started")

const (
	startTimeout = 30 * timekeeper.Second
	stopTimeout  = 60 * timekeeper.Second
)

// Process is a started program with the addresses of its listeners.
type Process struct {
	Name string

	command        *exec.Cmd
	mu             sync.Mutex
	addresses      map[string]string
	addressPrinted chan struct{}
	exited         chan struct{}
	exitErr        error
}

// Start starts a program and returns when it has printed the listener addresses of all purposes. Its output goes to logs. If
// the program started but did not print them in time, Start returns an error and the process, so that it can be killed.
func Start(name, program string, logs io.Writer, purposes []string, arguments ...string) (*Process, error) {
	p := &Process{
		Name:           name,
		command:        exec.Command(program, arguments...),
		addresses:      map[string]string{},
		addressPrinted: make(chan struct{}, 1),
		exited:         make(chan struct{}),
	}
	p.command.Stderr = logs
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("launcher: open output of %s: %w", name, err)
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("launcher: start %s: %w", filepath.Base(program), err)
	}
	go p.readOutput(out, logs)

	return p, p.waitForListeners(purposes)
}

// readOutput records the listener addresses that the process prints, copies its output to logs and waits for its exit.
func (p *Process) readOutput(out io.Reader, logs io.Writer) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		if logs != nil {
			_, _ = fmt.Fprintln(logs, scanner.Text())
		}
		words := strings.Fields(scanner.Text())
		if len(words) == 3 && words[0] == "listening" {
			p.mu.Lock()
			p.addresses[words[1]] = words[2]
			p.mu.Unlock()
			select {
			case p.addressPrinted <- struct{}{}:
			default:
			}
		}
	}
	p.exitErr = p.command.Wait()
	close(p.exited)
}

func (p *Process) waitForListeners(purposes []string) error {
	deadline := time.After(startTimeout.Duration())
	for !p.hasListeners(purposes) {
		select {
		case <-p.addressPrinted:
		case <-p.exited:
			return fmt.Errorf("%w: %s: %w", ErrNotStarted, p.Name, p.exitErr)
		case <-deadline:
			return fmt.Errorf("%w: %s did not print its listeners in time", ErrNotStarted, p.Name)
		}
	}

	return nil
}

func (p *Process) hasListeners(purposes []string) bool {
	for _, purpose := range purposes {
		if p.Address(purpose) == "" {
			return false
		}
	}

	return true
}

// Address returns the address of the listener for a purpose, or an empty string if the process has not printed it.
func (p *Process) Address(purpose string) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.addresses[purpose]
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process. It returns nil if the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("launcher: signal %s: %w", p.Name, err)
	}

	return nil
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Stop terminates the process and waits for its exit. It returns an error if the exit code is not 0. If the process does not
// exit in time, Stop kills it and returns an error.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout.Duration()):
		p.Kill()

		return fmt.Errorf("launcher: %s did not exit after SIGTERM, killed", p.Name)
	}
	if p.exitErr != nil {
		return fmt.Errorf("launcher: %s exited with an error: %w", p.Name, p.exitErr)
	}

	return nil
}
