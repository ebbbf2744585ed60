package launcher

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ErrNoUsage means that the kernel's figures of a process could not be read.
var ErrNoUsage = errors.New("launcher: no figures of the process")

// ticksPerSecond is the unit of processor time in the kernel's figures.
const ticksPerSecond = 100

// ProcessorTime returns the seconds of processor time that the process has used.
func (p *Process) ProcessorTime() (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrNoUsage, p.Name, err)
	}
	const userField, systemField = 11, 12
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrNoUsage, p.Name, err)
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrNoUsage, p.Name, err)
	}

	return (user + system) / ticksPerSecond, nil
}

// ResidentMB returns the resident memory of the process in MB.
func (p *Process) ResidentMB() (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.ID()))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrNoUsage, p.Name, err)
	}
	_, rest, ok := strings.Cut(string(raw), "VmRSS:")
	if !ok {
		return 0, fmt.Errorf("%w: %s", ErrNoUsage, p.Name)
	}
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrNoUsage, p.Name, err)
	}

	return kb / 1024, nil
}
