package launcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// GatewaySpec says what to start before the platform's stand-ins.
type GatewaySpec struct {
	Programs string
	Gateways int
	// Engines and Plains are the numbers of endpoints of the two services.
	Engines int
	Plains  int
	// Events and Gap shape the streams of engines.
	Events int
	Gap    timekeeper.Millis
	Logs   io.Writer
	// Settings are added to the settings of every gateway.
	Settings map[string]any
}

// Keys and hosts of the launched configuration.
const (
	GatewayHost    = "calls.example"
	GatewayKey     = "demo-key"
	GatewayAccount = "demo-account"
)

// DemoEvents is the number of events of a stream in the demo.
const DemoEvents = 20

// DemoGateways is what the demo starts before the platform's stand-ins.
func DemoGateways(programs string, logs io.Writer) GatewaySpec {
	return GatewaySpec{Programs: programs, Gateways: 2, Engines: 3, Plains: 2, Events: DemoEvents, Gap: 5, Logs: logs}
}

// GatewayFleet is a store, endpoints and gateways, each a process.
type GatewayFleet struct {
	Store     *Process
	Endpoints map[string]*Process
	Gateways  []*Process

	spec    GatewaySpec
	folder  string
	version int
}

// ErrStandIn means that a stand-in did not take what it was told.
var ErrStandIn = errors.New("launcher: stand-in refused")

// LaunchGateways starts a fleet and returns it when every gateway is ready.
func LaunchGateways(spec GatewaySpec) (*GatewayFleet, error) {
	folder, err := os.MkdirTemp("", "cardamompulley-")
	if err != nil {
		return nil, fmt.Errorf("launcher: %w", err)
	}
	f := &GatewayFleet{spec: spec, folder: folder, Endpoints: map[string]*Process{}}
	if err := f.start(); err != nil {
		f.Kill()

		return nil, err
	}

	return f, nil
}

func (f *GatewayFleet) start() error {
	var err error
	f.Store, err = f.program("store", "standin", []string{"standin"}, "store")
	if err != nil {
		return err
	}
	if err := f.Configure(nil); err != nil {
		return err
	}
	for n := range f.spec.Engines {
		if err := f.StartEndpoint(fmt.Sprintf("engine-%d", n+1), "engines", n); err != nil {
			return err
		}
	}
	for n := range f.spec.Plains {
		if err := f.StartEndpoint(fmt.Sprintf("plain-%d", n+1), "records", n); err != nil {
			return err
		}
	}
	for range f.spec.Gateways {
		if _, err := f.StartGateway(); err != nil {
			return err
		}
	}

	return f.AwaitReady()
}

func (f *GatewayFleet) program(name, program string, purposes []string, arguments ...string) (*Process, error) {
	return Start(name, filepath.Join(f.spec.Programs, program), f.spec.Logs, purposes, arguments...)
}

// StartEndpoint starts an endpoint of a service and lists it in the store.
func (f *GatewayFleet) StartEndpoint(id, service string, domain int) error {
	p, err := f.program(id, "standin", []string{"standin"}, "responder", "--id", id,
		"--events", fmt.Sprint(max(f.spec.Events, 1)), "--gap-ms", fmt.Sprint(int64(f.spec.Gap)))
	if err != nil {
		return err
	}
	f.Endpoints[id] = p

	return f.List(id, service, domain, "ready")
}

// List writes an endpoint's entry.
func (f *GatewayFleet) List(id, service string, domain int, state string) error {
	return f.PutItem("servers/"+id, map[string]any{
		"service": service, "address": f.Endpoints[id].Address("standin"),
		"zone": fmt.Sprintf("domain-%d", domain), "version": "v1", "slots": 64,
		"state": state, "cold-remaining-ms": 0, "sequence": 1,
	})
}

// Configure writes the next version of the configuration; change may alter it first.
func (f *GatewayFleet) Configure(change func(map[string]any)) error {
	f.version++
	c := gatewayConfiguration(f.version)
	if change != nil {
		change(c)
	}

	return f.PutItem("op/config", c)
}

func gatewayConfiguration(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": GatewayHost, "prefix": prefix, "kind": kind, "service": service,
			"timeout-ms": 5000, "target-latency-ms": 500, "priority": 1, "max-attempts": attempts,
			"public": false, "resumable": resumable, "session-affinity": kind == "stream",
		}
	}

	return map[string]any{
		"version": version,
		"routes": []any{
			route("drafts", "/drafts/", "stream", "engines", 1, false),
			route("edits", "/edits/", "stream", "engines", 2, true),
			route("lookups", "/lookups/", "safe", "records", 2, false),
			route("bookings", "/bookings/", "unsafe", "records", 1, false),
		},
		"services": []any{
			map[string]any{"name": "engines", "max-connections": 64, "cold-s": 1, "cold-per-s": 10,
				"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 100000}},
			map[string]any{"name": "records", "max-connections": 64},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": GatewayAccount, "api-keys": []string{GatewayKey}}},
	}
}

// StartGateway starts one more gateway; it does not wait until it is ready.
func (f *GatewayFleet) StartGateway() (*Process, error) {
	n := len(f.Gateways)
	settings := map[string]any{
		"process": fmt.Sprintf("gateway-%d", n+1), "domain": "domain-0",
		"listen": "127.0.0.1:0", "ready-listen": "127.0.0.1:0", "peer-listen": "127.0.0.1:0",
		"metrics-listen": "127.0.0.1:0", "store-address": f.Store.Address("standin"),
		"shutdown-grace-ms": 6000, "retry-ratio": 0.2, "retry-slack": 50,
	}
	if n > 0 {
		settings["seeds"] = []string{f.Gateways[0].Address("peer")}
	}
	for name, value := range f.spec.Settings {
		settings[name] = value
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("launcher: %w", err)
	}
	path := filepath.Join(f.folder, fmt.Sprintf("gateway-%d.json", n+1))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, fmt.Errorf("launcher: %w", err)
	}
	p, err := f.program(fmt.Sprintf("gateway-%d", n+1), "router",
		[]string{"callers", "ready", "peer", "metrics"}, "gateway", "--settings", path)
	if err != nil {
		return nil, err
	}
	f.Gateways = append(f.Gateways, p)

	return p, nil
}

// AwaitReady returns when every gateway answers that callers may come.
func (f *GatewayFleet) AwaitReady() error {
	deadline := time.Now().Add(startTimeout.Duration())
	for _, g := range f.Gateways {
		for !f.Ready(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", ErrNotReady, g.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}

	return nil
}

// Ready tells whether a gateway answers that callers may come.
func (f *GatewayFleet) Ready(g *Process) bool {
	response, err := http.Get("http://" + g.Address("ready") + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode == http.StatusOK
}

// PutItem writes an item of the store.
func (f *GatewayFleet) PutItem(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}

	return tell(http.MethodPut, f.Store, "/items/"+key, raw)
}

// DeleteItem removes an item of the store.
func (f *GatewayFleet) DeleteItem(key string) error {
	return tell(http.MethodDelete, f.Store, "/items/"+key, nil)
}

// StoreFaults switches faults of the store, given as JSON.
func (f *GatewayFleet) StoreFaults(faults string) error {
	return tell(http.MethodPut, f.Store, "/faults", []byte(faults))
}

// EndpointFaults switches faults of an endpoint, given as JSON.
func (f *GatewayFleet) EndpointFaults(id, faults string) error {
	return tell(http.MethodPut, f.Endpoints[id], "/standin/faults", []byte(faults))
}

func tell(method string, p *Process, path string, body []byte) error {
	r, err := http.NewRequest(method, "http://"+p.Address("standin")+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("launcher: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("launcher: %s: %w", p.Name, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", ErrStandIn, p.Name, response.StatusCode)
	}

	return nil
}

// EndpointRun is one request that an endpoint has run.
type EndpointRun struct {
	Attempt string      `json:"attempt"`
	Method  string      `json:"method"`
	Target  string      `json:"target"`
	Header  http.Header `json:"header"`
	Body    string      `json:"body"`
}

// Runs returns what an endpoint has run, and how much of it still runs.
func (f *GatewayFleet) Runs(id string) ([]EndpointRun, int, error) {
	response, err := http.Get("http://" + f.Endpoints[id].Address("standin") + "/standin/runs")
	if err != nil {
		return nil, 0, fmt.Errorf("launcher: %s: %w", id, err)
	}
	defer func() { _ = response.Body.Close() }()
	var listed struct {
		Running int           `json:"running"`
		Runs    []EndpointRun `json:"runs"`
	}
	if err := json.NewDecoder(response.Body).Decode(&listed); err != nil {
		return nil, 0, fmt.Errorf("launcher: %s: %w", id, err)
	}

	return listed.Runs, listed.Running, nil
}

// RunsOf counts the runs of an attempt over all endpoints.
func (f *GatewayFleet) RunsOf(attempt string) (int, error) {
	count := 0
	for id := range f.Endpoints {
		runs, _, err := f.Runs(id)
		if err != nil {
			return 0, err
		}
		for _, r := range runs {
			if r.Attempt == attempt {
				count++
			}
		}
	}

	return count, nil
}

// Stop asks every gateway to end, then ends the stand-ins.
func (f *GatewayFleet) Stop() error {
	defer f.Kill()
	var faults []error
	for _, g := range f.Gateways {
		faults = append(faults, g.Stop())
	}

	return errors.Join(faults...)
}

// Kill ends every process at once.
func (f *GatewayFleet) Kill() {
	all := append([]*Process{f.Store}, f.Gateways...)
	for _, p := range f.Endpoints {
		all = append(all, p)
	}
	for _, p := range all {
		if p != nil {
			p.Kill()
		}
	}
	_ = os.RemoveAll(f.folder)
}
