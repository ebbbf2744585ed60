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

	"cardamompulley/fleet/checker"
	"cardamompulley/fleet/timekeeper"
)

const (
	probeInterval  = timekeeper.Second
	probeTimeout   = timekeeper.Second
	idleTimeout    = timekeeper.Minute
	maxReportBytes = 64 << 10
	maxHeadBytes   = 64 << 10
	// failuresUntilDown is the number of failed probes in a row after which the endpoint counts as down.
	failuresUntilDown = 2
	// unreportedIncarnation stands for the incarnation of an endpoint that responds without a report.
	unreportedIncarnation = "unreported"
)

// Report is the status report of an endpoint. Incarnation changes with each restart of the endpoint; JSON calls it boot.
type Report struct {
	Incarnation string `json:"boot"`
	Running     int    `json:"running"`
	IsCold      bool   `json:"cold"`
}

// StateChange lists what has changed since the previous probe.
type StateChange struct {
	HasCrashed bool
	WentDown   bool
	CameUp     bool
	BecameCold bool
}

// Prober fetches the report of one endpoint periodically and on demand. It is safe for concurrent use.
type Prober struct {
	// OnChange is called with each state change. It must be set before the first probe.
	OnChange func(StateChange)

	reportURL string
	client    *http.Client
	done      chan struct{}

	// probeMu allows one probe at a time.
	probeMu sync.Mutex

	mu          sync.Mutex
	incarnation string
	isCold      bool
	isDown      bool
	failures    int
}

// NewProber returns a prober of the endpoint at a base URL.
func NewProber(baseURL string) *Prober {
	return &Prober{
		OnChange:  func(StateChange) {},
		reportURL: baseURL + "/load",
		client: &http.Client{
			Transport: &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: idleTimeout.Duration()},
			Timeout:   probeTimeout.Duration(),
		},
		done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// Run probes the endpoint at a fixed interval until the context ends.
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

// Probe fetches the report once and returns what has changed. If a connection to the endpoint has just broken, one failed
// probe is enough to count the endpoint as down.
func (p *Prober) Probe(ctx context.Context, connectionBroke bool) StateChange {
	p.probeMu.Lock()
	defer p.probeMu.Unlock()
	report, err := p.fetchReport(ctx)
	if ctx.Err() != nil {
		return StateChange{}
	}
	p.mu.Lock()
	change := p.update(report, err, connectionBroke)
	p.mu.Unlock()
	if change != (StateChange{}) {
		p.OnChange(change)
	}

	return change
}

// update applies the result of a probe and returns the state change. An endpoint that goes down has crashed unless its probe
// timed out; one that stays up has crashed if its incarnation has changed. A response without a valid report says nothing of the incarnation.
// p.mu must be held.
func (p *Prober) update(report Report, err error, connectionBroke bool) StateChange {
	if err != nil {
		p.failures++
		if p.isDown || (p.failures < failuresUntilDown && !connectionBroke) {
			return StateChange{}
		}
		p.isDown = true

		return StateChange{WentDown: true, HasCrashed: p.incarnation != "" && !isTimeout(err)}
	}
	p.failures = 0
	if report.Incarnation == unreportedIncarnation && p.incarnation != "" && !p.isDown {
		return StateChange{}
	}
	change := StateChange{
		HasCrashed: isReported(p.incarnation) && report.Incarnation != p.incarnation && !p.isDown,
		CameUp:     p.isDown || p.incarnation == "",
		BecameCold: report.IsCold && !p.isCold,
	}
	if report.Incarnation != p.incarnation {
		change.BecameCold = true
	}
	p.incarnation = report.Incarnation
	p.isCold = report.IsCold
	p.isDown = false

	return change
}

// isReported reports whether an incarnation is one that the endpoint has named.
func isReported(incarnation string) bool {
	return incarnation != "" && incarnation != unreportedIncarnation
}

// fetchReport returns the report of the endpoint. An endpoint that responds without a valid report counts as up.
func (p *Prober) fetchReport(ctx context.Context) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.reportURL, nil)
	if err != nil {
		return Report{}, fmt.Errorf("prober: %s: %w", p.reportURL, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("prober: %s: %w", p.reportURL, err)
	}
	defer response.Body.Close()
	report := Report{Incarnation: unreportedIncarnation}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return Report{}, fmt.Errorf("prober: %s: %w", p.reportURL, err)
	}
	if response.StatusCode == http.StatusOK && checker.CheckHead(response) == nil {
		_ = json.Unmarshal(body, &report)
	}
	if report.Incarnation == "" {
		report.Incarnation = unreportedIncarnation
	}

	return report, nil
}

// isTimeout reports whether a probe timed out. In that case the endpoint may still be running its requests.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }

	return errors.As(err, &timeout) && timeout.Timeout()
}
