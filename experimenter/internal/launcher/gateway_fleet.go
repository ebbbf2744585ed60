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

// KillGateways kills all gateways at once and forgets them, so that StartGateway starts the first one again.
func (f *GatewayFleet) KillGateways() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	f.Gateways = nil
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

// gatewayListeners are the purposes of a gateway's listeners.
var gatewayListeners = []string{"callers", "ready", "peer", "metrics"}

// StartGateway starts another gateway without waiting until it is ready. Gateways after the first use the first one as their
// seed.
func (f *GatewayFleet) StartGateway() (*Process, error) {
	addresses := map[string]string{}
	for _, purpose := range gatewayListeners {
		addresses[purpose] = "127.0.0.1:0"
	}
	p, err := f.startGatewayAt(len(f.Gateways), addresses)
	if err != nil {
		return nil, err
	}
	f.Gateways = append(f.Gateways, p)

	return p, nil
}

// RestartGateway starts the n-th gateway, whose process has ended, at the addresses that it had.
func (f *GatewayFleet) RestartGateway(n int) (*Process, error) {
	addresses := map[string]string{}
	for _, purpose := range gatewayListeners {
		addresses[purpose] = f.Gateways[n].Address(purpose)
	}
	p, err := f.startGatewayAt(n, addresses)
	if err != nil {
		return nil, err
	}
	f.Gateways[n] = p

	return p, nil
}

// startGatewayAt starts the n-th gateway with listeners at the given addresses, by purpose.
func (f *GatewayFleet) startGatewayAt(n int, addresses map[string]string) (*Process, error) {
	settings := map[string]any{
		"process": fmt.Sprintf("gateway-%d", n+1), "domain": gatewayDomainID(0),
		"listen": addresses["callers"], "ready-listen": addresses["ready"], "peer-listen": addresses["peer"],
		"metrics-listen": addresses["metrics"], "store-address": f.Store.Address("standin"),
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

	return f.startProgram(fmt.Sprintf("gateway-%d", n+1), "router", gatewayListeners, "gateway", "--settings", path)
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

// Stop shuts down every gateway, kills the stand-ins and returns the errors of the gateways.
func (f *GatewayFleet) Stop() error {
	defer f.Kill()
	var errs []error
	for _, g := range f.Gateways {
		errs = append(errs, g.Stop())
	}

	return errors.Join(errs...)
}
