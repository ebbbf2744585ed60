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

// ErrNotStarted means that a process ended or stayed silent before it listened.
var ErrNotStarted = errors.New("launcher: process not started")

const (
	startTimeout = 30 * timekeeper.Second
	stopTimeout  = 60 * timekeeper.Second
)

// Process is one started program and the addresses that it printed.
type Process struct {
	Name string

	command   *exec.Cmd
	mu        sync.Mutex
	addresses map[string]string
	printed   chan struct{}
	exited    chan struct{}
	err       error
}

// Start starts a program and returns when it has printed that it listens for every purpose.
func Start(name, program string, errs io.Writer, purposes []string, arguments ...string) (*Process, error) {
	p := &Process{
		Name:      name,
		command:   exec.Command(program, arguments...),
		addresses: map[string]string{},
		printed:   make(chan struct{}, 1),
		exited:    make(chan struct{}),
	}
	p.command.Stderr = errs
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("launcher: %s: %w", name, err)
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("launcher: %s: %w", filepath.Base(program), err)
	}
	go p.read(out, errs)

	return p, p.await(purposes)
}

// read notes the addresses that the process prints and copies its output to logs.
func (p *Process) read(out io.Reader, logs io.Writer) {
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
			case p.printed <- struct{}{}:
			default:
			}
		}
	}
	p.err = p.command.Wait()
	close(p.exited)
}

func (p *Process) await(purposes []string) error {
	deadline := time.After(startTimeout.Duration())
	for !p.listens(purposes) {
		select {
		case <-p.printed:
		case <-p.exited:
			return fmt.Errorf("%w: %s: %w", ErrNotStarted, p.Name, p.err)
		case <-deadline:
			return fmt.Errorf("%w: %s is silent", ErrNotStarted, p.Name)
		}
	}

	return nil
}

func (p *Process) listens(purposes []string) bool {
	for _, purpose := range purposes {
		if p.Address(purpose) == "" {
			return false
		}
	}

	return true
}

// Address returns the address that the process bound for a purpose.
func (p *Process) Address(purpose string) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.addresses[purpose]
}

// ID returns the process id.
func (p *Process) ID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("launcher: %s: %w", p.Name, err)
	}

	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Stop asks the process to end and returns its error when it does not end cleanly.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout.Duration()):
		p.Kill()

		return fmt.Errorf("launcher: %s did not stop", p.Name)
	}
	if p.err != nil {
		return fmt.Errorf("launcher: %s: %w", p.Name, p.err)
	}

	return nil
}
