package launcher

import (
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

// GatewaySpec describes the gateways and stand-ins that LaunchGateways starts.
type GatewaySpec struct {
	// BinDir is the directory of the built programs.
	BinDir   string
	Gateways int
	// Engines and PlainEndpoints are the numbers of endpoints of the two services. The n-th endpoint of each is in the n-th
	// failure domain. All gateways are in the first.
	Engines        int
	PlainEndpoints int
	// EventsPerStream and EventInterval configure the streams of all endpoints.
	EventsPerStream int
	EventInterval   timekeeper.Millis
	// Logs receives the output of all processes.
	Logs io.Writer
	// GatewaySettings are merged into the settings of every gateway.
	GatewaySettings map[string]any
}

// Host, API key and client account of the launched configuration.
const (
	GatewayHost    = "calls.example"
	GatewayAPIKey  = "demo-key"
	gatewayAccount = model.AccountID("demo-account")
)

// DemoEventsPerStream is the number of events of a stream in the demo.
const DemoEventsPerStream = 20

// DemoGatewaySpec returns the specification of the demo.
func DemoGatewaySpec(binDir string, logs io.Writer) GatewaySpec {
	return GatewaySpec{
		BinDir: binDir, Gateways: 2, Engines: 3, PlainEndpoints: 2,
		EventsPerStream: DemoEventsPerStream, EventInterval: 5, Logs: logs,
	}
}

// GatewayFleet is a running fleet of gateways, endpoints and the store, each a process.
type GatewayFleet struct {
	Store     *Process
	Endpoints map[model.EndpointID]*Process
	Gateways  []*Process

	processGroup

	spec GatewaySpec
	// entries holds the newest entry of each endpoint in the endpoint list.
	entries              map[model.EndpointID]imitator.Endpoint
	configurationVersion model.Version
}

// LaunchGateways starts a fleet and returns it when every gateway is ready. On errors it kills all processes. It returns
// ErrNotStarted or ErrNotReady if a process does not start or get ready in time.
func LaunchGateways(spec GatewaySpec) (*GatewayFleet, error) {
	g, err := newProcessGroup(spec.BinDir, spec.Logs)
	if err != nil {
		return nil, err
	}
	f := &GatewayFleet{processGroup: g, spec: spec, Endpoints: map[model.EndpointID]*Process{}, entries: map[model.EndpointID]imitator.Endpoint{}}
	if err := f.startAll(); err != nil {
		f.Kill()

		return nil, err
	}

	return f, nil
}

func (f *GatewayFleet) startAll() error {
	var err error
	f.Store, err = f.startProgram("store", "standin", []string{"standin"}, "store")
	if err != nil {
		return err
	}
	if err := f.PublishConfiguration(GatewayAPIKey); err != nil {
		return err
	}
	for n := range f.spec.Engines {
		if err := f.StartEndpoint(model.EndpointID(fmt.Sprintf("engine-%d", n+1)), imitator.ServiceEngines, n); err != nil {
			return err
		}
	}
	for n := range f.spec.PlainEndpoints {
		if err := f.StartEndpoint(model.EndpointID(fmt.Sprintf("plain-%d", n+1)), imitator.ServiceRecords, n); err != nil {
			return err
		}
	}
	for range f.spec.Gateways {
		if _, err := f.StartGateway(); err != nil {
			return err
		}
	}

	return f.WaitUntilReady()
}

// StartEndpoint starts an endpoint of a service in a failure domain and registers it in the store.
func (f *GatewayFleet) StartEndpoint(id model.EndpointID, service model.ServiceID, domain int) error {
	return f.StartEndpointOf(id, service, domain, "")
}

// StartEndpointOf starts an endpoint like StartEndpoint. If software is not empty, its entry and its events name that version.
func (f *GatewayFleet) StartEndpointOf(id model.EndpointID, service model.ServiceID, domain int, software model.SoftwareVersion) error {
	p, err := f.startProgram(string(id), "standin", []string{"standin"}, "responder", "--id", string(id), "--software", string(software),
		"--events", fmt.Sprint(max(f.spec.EventsPerStream, 1)), "--gap-ms", fmt.Sprint(int64(f.spec.EventInterval)))
	if err != nil {
		return err
	}
	f.Endpoints[id] = p
	f.entries[id] = imitator.Endpoint{Software: software, StartedAt: timekeeper.Millis(time.Now().UnixMilli())}

	return f.RegisterEndpoint(id, service, domain, false)
}

// RegisterEndpoint writes the entry of an endpoint in the store.
func (f *GatewayFleet) RegisterEndpoint(id model.EndpointID, service model.ServiceID, domain int, draining bool) error {
	e := f.entries[id]
	e.Service, e.Address, e.Domain, e.IsDraining = service, f.Endpoints[id].Address("standin"), gatewayDomainID(domain), draining
	f.entries[id] = e

	return f.PutItem(imitator.KeyEndpoint(id), e.Entry())
}

// RestartEntry writes the entry of an endpoint as a new process writes it that starts under the same ID and address.
func (f *GatewayFleet) RestartEntry(id model.EndpointID) error {
	e := f.entries[id]
	e.StartedAt = timekeeper.Millis(time.Now().UnixMilli())
	f.entries[id] = e

	return f.PutItem(imitator.KeyEndpoint(id), e.Entry())
}

// KillGateways kills all gateways at once and forgets them, so that StartGateway starts the first one again.
func (f *GatewayFleet) KillGateways() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	f.Gateways = nil
}

// DeregisterEndpoint deletes the entry of an endpoint from the store.
func (f *GatewayFleet) DeregisterEndpoint(id model.EndpointID) error {
	return f.deleteItem(imitator.KeyEndpoint(id))
}

// EvacuateDomain takes a failure domain out of service.
func (f *GatewayFleet) EvacuateDomain(domain int) error {
	return f.PutItem(imitator.KeyOutage(gatewayDomainID(domain)), map[string]any{})
}

// RestoreDomain puts a failure domain back in service.
func (f *GatewayFleet) RestoreDomain(domain int) error {
	return f.deleteItem(imitator.KeyOutage(gatewayDomainID(domain)))
}

func gatewayDomainID(n int) model.DomainID {
	return model.DomainID(fmt.Sprintf("domain-%d", n))
}

// PublishConfiguration writes the next version of the configuration, in which the client account has the given API keys.
func (f *GatewayFleet) PublishConfiguration(apiKeys ...string) error {
	f.configurationVersion++

	return f.WriteConfiguration(f.configurationVersion, apiKeys...)
}

// WriteConfiguration writes a version of the configuration, which may have been written before.
func (f *GatewayFleet) WriteConfiguration(v model.Version, apiKeys ...string) error {
	options := imitator.ConfigurationOptions{Host: GatewayHost, Account: gatewayAccount, APIKeys: apiKeys}

	return f.PutItem(imitator.KeyConfiguration, imitator.Configuration(v, options))
}

// StartGateway starts another gateway without waiting until it is ready. Gateways after the first use the first one as their
// seed.
func (f *GatewayFleet) StartGateway() (*Process, error) {
	n := len(f.Gateways)
	settings := map[string]any{
		"process": fmt.Sprintf("gateway-%d", n+1), "domain": gatewayDomainID(0),
		"listen": "127.0.0.1:0", "ready-listen": "127.0.0.1:0", "peer-listen": "127.0.0.1:0",
		"metrics-listen": "127.0.0.1:0", "store-address": f.Store.Address("standin"),
		"shutdown-grace-ms": 6000, "retry-ratio": 0.2, "retry-slack": 50,
	}
	if n > 0 {
		settings["seeds"] = []string{f.Gateways[0].Address("peer")}
	}
	for name, value := range f.spec.GatewaySettings {
		settings[name] = value
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("launcher: encode gateway settings: %w", err)
	}
	path := filepath.Join(f.dir, fmt.Sprintf("gateway-%d.json", n+1))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, fmt.Errorf("launcher: write gateway settings: %w", err)
	}
	p, err := f.startProgram(fmt.Sprintf("gateway-%d", n+1), "router",
		[]string{"callers", "ready", "peer", "metrics"}, "gateway", "--settings", path)
	if err != nil {
		return nil, err
	}
	f.Gateways = append(f.Gateways, p)

	return p, nil
}

// WaitUntilReady waits until every gateway is ready. It returns ErrNotReady on timeout.
func (f *GatewayFleet) WaitUntilReady() error {
	deadline := time.Now().Add(startTimeout.Duration())
	for _, g := range f.Gateways {
		for !f.IsReady(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", ErrNotReady, g.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}

	return nil
}

// IsReady reports whether the readiness check of a gateway succeeds.
func (f *GatewayFleet) IsReady(g *Process) bool {
	response, err := http.Get("http://" + g.Address("ready") + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode == http.StatusOK
}

// SetEndpointFaults replaces the faults of an endpoint, given as JSON.
func (f *GatewayFleet) SetEndpointFaults(id model.EndpointID, faults string) error {
	return callStandIn(http.MethodPut, f.Endpoints[id], "/standin/faults", []byte(faults))
}

// ExecutedRequest is a request that an endpoint has executed or is executing.
type ExecutedRequest struct {
	AttemptID  string      `json:"attempt"`
	Method     string      `json:"method"`
	RequestURI string      `json:"target"`
	Header     http.Header `json:"header"`
	Body       string      `json:"body"`
	// ArrivedAt is a Unix time in milliseconds.
	ArrivedAt int64 `json:"arrived-ms"`
}

// endpointRecord is what the stand-in of an endpoint has recorded.
type endpointRecord struct {
	Running    int               `json:"running"`
	Runs       []ExecutedRequest `json:"runs"`
	Rejections []int64           `json:"rejections-ms"`
}

func (f *GatewayFleet) fetchRecord(id model.EndpointID) (endpointRecord, error) {
	var record endpointRecord
	response, err := http.Get("http://" + f.Endpoints[id].Address("standin") + "/standin/runs")
	if err != nil {
		return record, fmt.Errorf("launcher: fetch executed requests of %s: %w", id, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return record, fmt.Errorf("launcher: decode executed requests of %s: %w", id, err)
	}

	return record, nil
}

// ExecutedRequests returns the requests that an endpoint has executed or is executing, and how many are still running.
func (f *GatewayFleet) ExecutedRequests(id model.EndpointID) ([]ExecutedRequest, int, error) {
	record, err := f.fetchRecord(id)

	return record.Runs, record.Running, err
}

// Rejections returns the times at which an endpoint has rejected requests.
func (f *GatewayFleet) Rejections(id model.EndpointID) ([]time.Time, error) {
	record, err := f.fetchRecord(id)
	times := make([]time.Time, 0, len(record.Rejections))
	for _, at := range record.Rejections {
		times = append(times, time.UnixMilli(at))
	}

	return times, err
}

// ExecutionCount returns how often an attempt was executed, summed over all endpoints.
func (f *GatewayFleet) ExecutionCount(attemptID string) (int, error) {
	count := 0
	for id := range f.Endpoints {
		requests, _, err := f.ExecutedRequests(id)
		if err != nil {
			return 0, err
		}
		for _, r := range requests {
			if r.AttemptID == attemptID {
				count++
			}
		}
	}

	return count, nil
}

// Stop shuts down every gateway, kills the stand-ins and returns the errors of the gateways.
func (f *GatewayFleet) Stop() error {
	defer f.Kill()
	var errs []error
	for _, g := range f.Gateways {
		errs = append(errs, g.Stop())
	}

	return errors.Join(errs...)
}
