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

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
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

// Host, key and account of the launched configuration.
const (
	GatewayHost    = "calls.example"
	GatewayKey     = "demo-key"
	gatewayAccount = model.AccountID("demo-account")
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
	Endpoints map[model.EndpointID]*Process
	Gateways  []*Process

	group

	spec    GatewaySpec
	version model.Version
}

// ErrStandIn means that a stand-in did not take what it was told.
var ErrStandIn = errors.New("launcher: stand-in refused")

// LaunchGateways starts a fleet and returns it when every gateway is ready.
func LaunchGateways(spec GatewaySpec) (*GatewayFleet, error) {
	g, err := newGroup(spec.Programs, spec.Logs)
	if err != nil {
		return nil, err
	}
	f := &GatewayFleet{group: g, spec: spec, Endpoints: map[model.EndpointID]*Process{}}
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
	if err := f.Configure(GatewayKey); err != nil {
		return err
	}
	for n := range f.spec.Engines {
		if err := f.StartEndpoint(model.EndpointID(fmt.Sprintf("engine-%d", n+1)), imitator.ServiceEngines, n); err != nil {
			return err
		}
	}
	for n := range f.spec.Plains {
		if err := f.StartEndpoint(model.EndpointID(fmt.Sprintf("plain-%d", n+1)), imitator.ServiceRecords, n); err != nil {
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

// StartEndpoint starts an endpoint of a service and lists it in the store.
func (f *GatewayFleet) StartEndpoint(id model.EndpointID, service model.ServiceID, domain int) error {
	p, err := f.program(string(id), "standin", []string{"standin"}, "responder", "--id", string(id),
		"--events", fmt.Sprint(max(f.spec.Events, 1)), "--gap-ms", fmt.Sprint(int64(f.spec.Gap)))
	if err != nil {
		return err
	}
	f.Endpoints[id] = p

	return f.List(id, service, domain, false)
}

// List writes an endpoint's entry.
func (f *GatewayFleet) List(id model.EndpointID, service model.ServiceID, domain int, leaving bool) error {
	address := f.Endpoints[id].Address("standin")

	return f.PutItem(imitator.KeyEndpoint(id), imitator.EndpointEntry(service, address, domainOf(domain), leaving))
}

// Unlist removes an endpoint's entry.
func (f *GatewayFleet) Unlist(id model.EndpointID) error {
	return f.deleteItem(imitator.KeyEndpoint(id))
}

// TakeOut takes a failure domain out.
func (f *GatewayFleet) TakeOut(domain int) error {
	return f.PutItem(imitator.KeyOutage(domainOf(domain)), map[string]any{})
}

// TakeBack takes a failure domain back in.
func (f *GatewayFleet) TakeBack(domain int) error {
	return f.deleteItem(imitator.KeyOutage(domainOf(domain)))
}

func domainOf(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("domain-%d", n))
}

// Configure writes the next version of the configuration, in which the account has the given keys.
func (f *GatewayFleet) Configure(keys ...string) error {
	f.version++
	site := imitator.ConfigurationOptions{Host: GatewayHost, Account: gatewayAccount, APIKeys: keys}

	return f.PutItem(imitator.KeyConfiguration, imitator.Configuration(f.version, site))
}

// StartGateway starts one more gateway; it does not wait until it is ready.
func (f *GatewayFleet) StartGateway() (*Process, error) {
	n := len(f.Gateways)
	settings := map[string]any{
		"process": fmt.Sprintf("gateway-%d", n+1), "domain": domainOf(0),
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

func (f *GatewayFleet) deleteItem(key string) error {
	return tell(http.MethodDelete, f.Store, "/items/"+key, nil)
}

// StoreFaults switches faults of the store, given as JSON.
func (f *GatewayFleet) StoreFaults(faults string) error {
	return tell(http.MethodPut, f.Store, "/faults", []byte(faults))
}

// EndpointFaults switches faults of an endpoint, given as JSON.
func (f *GatewayFleet) EndpointFaults(id model.EndpointID, faults string) error {
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
func (f *GatewayFleet) Runs(id model.EndpointID) ([]EndpointRun, int, error) {
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
