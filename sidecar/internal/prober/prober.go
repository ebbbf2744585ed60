package prober

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cardamompulley/fleet/timekeeper"
)

const (
	probeInterval = timekeeper.Second
	probeTimeout  = timekeeper.Second
	maxReport     = 64 << 10
	downProbes    = 2
	unreported    = "unreported"
)

// Report is what an endpoint says of itself.
type Report struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Cold    bool   `json:"cold"`
}

// Change is what a probe found to be new.
type Change struct {
	Crashed bool
	Down    bool
	Up      bool
	Cold    bool
}

// Prober asks the endpoint for its report.
type Prober struct {
	// OnChange is called with each change.
	OnChange func(Change)

	url    string
	client *http.Client
	done   chan struct{}

	probing sync.Mutex

	mu     sync.Mutex
	boot   string
	cold   bool
	down   bool
	misses int
}

// NewProber returns a prober of an endpoint URL.
func NewProber(base string) *Prober {
	return &Prober{
		OnChange: func(Change) {},
		url:      base + "/load",
		client:   &http.Client{Timeout: probeTimeout.Duration()},
		done:     make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	ticker := time.NewTicker(probeInterval.Duration())
	defer ticker.Stop()
	for {
		p.Probe(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Probe asks once and reports what is new; after a broken connection one refused probe is enough to tell a crash.
func (p *Prober) Probe(ctx context.Context, broken bool) Change {
	p.probing.Lock()
	defer p.probing.Unlock()
	report, err := p.ask(ctx)
	if ctx.Err() != nil {
		return Change{}
	}
	p.mu.Lock()
	change := p.judge(report, err, broken)
	p.mu.Unlock()
	if change != (Change{}) {
		p.OnChange(change)
	}

	return change
}

func (p *Prober) judge(report Report, err error, broken bool) Change {
	if err != nil {
		p.misses++
		if p.down || (p.misses < downProbes && !broken) {
			return Change{}
		}
		p.down = true

		return Change{Down: true, Crashed: p.boot != "" && !isTimeout(err)}
	}
	p.misses = 0
	change := Change{
		Crashed: p.boot != "" && report.Boot != p.boot && !p.down,
		Up:      p.down || p.boot == "",
		Cold:    report.Cold && !p.cold,
	}
	if report.Boot != p.boot {
		change.Cold = true
	}
	p.boot = report.Boot
	p.cold = report.Cold
	p.down = false

	return change
}

func (p *Prober) ask(ctx context.Context) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return Report{}, fmt.Errorf("prober: %s: %w", p.url, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("prober: %s: %w", p.url, err)
	}
	defer response.Body.Close()
	report := Report{Boot: unreported}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return Report{}, fmt.Errorf("prober: %s: %w", p.url, err)
	}
	if response.StatusCode == http.StatusOK {
		_ = json.Unmarshal(body, &report)
	}

	return report, nil
}

// isTimeout tells a silent endpoint, which may still be running its work, from one that is gone.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }

	return errors.As(err, &timeout) && timeout.Timeout()
}
