package launcher

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ErrProcessStats means that the statistics of a process could not be read from /proc.
var ErrProcessStats = errors.New("launcher: cannot read process statistics")

// clockTicksPerSecond is the unit of CPU time in /proc, USER_HZ.
const clockTicksPerSecond = 100

// CPUSeconds returns the CPU time, user and system, that the process has used, in seconds.
func (p *Process) CPUSeconds() (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrProcessStats, p.Name, err)
	}
	// The indices count the fields of /proc/PID/stat after the process name.
	const utimeIndex, stimeIndex = 11, 12
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err := strconv.ParseFloat(fields[utimeIndex], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrProcessStats, p.Name, err)
	}
	system, err := strconv.ParseFloat(fields[stimeIndex], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrProcessStats, p.Name, err)
	}

	return (user + system) / clockTicksPerSecond, nil
}

// ResidentMemoryMB returns the resident set size of the process in MB.
func (p *Process) ResidentMemoryMB() (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrProcessStats, p.Name, err)
	}
	_, rest, ok := strings.Cut(string(raw), "VmRSS:")
	if !ok {
		return 0, fmt.Errorf("%w: no VmRSS of %s", ErrProcessStats, p.Name)
	}
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrProcessStats, p.Name, err)
	}

	return kb / 1024, nil
}
